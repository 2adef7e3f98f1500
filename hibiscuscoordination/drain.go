package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// An operator takes a worker out through any entry. The entry passes the request to the worker's agent, which is the
// authority for its slots and tells every entry. The operator's answer waits for the agent's word, so that a request that
// was lost with a session is not taken for done. A drain is kept by the agent's process only: a replaced VM starts afresh.

// drainTimeout is how long an agent may take to confirm; a round trip takes about 1 ms.
const drainTimeout = time.Second

// drainRequest is an operator's request that an agent has not confirmed yet.
type drainRequest struct {
	drained  bool
	operator string
	reply    func(error)
}

// DrainWorker takes the worker with an address out, or puts it back, and waits until its agent has confirmed; who names the
// operator in the audit trail. It returns ErrUnknownWorker, ErrNoAnswer after a second, or ErrStopped.
func (e *Entry) DrainWorker(address string, drained bool, who string) error {
	answers := hibiscusstate.NewRing[error](1)
	request := &drainRequest{drained: drained, operator: who, reply: func(err error) { answers.TryPush(err) }}
	if err := e.loop.post(func(time.Time) { e.requestDrain(address, request) }); err != nil {
		return err
	}
	var one [1]error
	if n, err := answers.PopBatch(one[:], drainTimeout); n == 0 || err != nil {
		return ErrNoAnswer
	}
	return one[0]
}

func (e *Entry) requestDrain(address string, request *drainRequest) {
	for id, p := range e.agents {
		if p.Hello().Address() != address {
			continue
		}
		e.answerDrain(id, ErrNoAnswer)
		if !p.Send(NewCapacityMessage(Capacity{}.WithDrained(request.drained))) {
			request.reply(ErrNoAnswer)
			return
		}
		e.drains[id] = request
		return
	}
	request.reply(ErrUnknownWorker)
}

// confirmDrain answers a request once the agent says that it is in the wanted state.
func (e *Entry) confirmDrain(p *Peer, c Capacity) {
	id := p.Hello().Incarnation()
	request := e.drains[id]
	if request == nil || request.drained != c.Drained() {
		return
	}
	kind := hibiscusstate.EventWorkerReturned
	if request.drained {
		kind = hibiscusstate.EventWorkerDrained
	}
	e.event(NewEvent(kind, c.Service()+"/"+p.Hello().Address(), "asked by "+request.operator))
	e.answerDrain(id, nil)
}

func (e *Entry) answerDrain(worker hibiscusstate.Incarnation, err error) {
	if request := e.drains[worker]; request != nil {
		delete(e.drains, worker)
		request.reply(err)
	}
}
