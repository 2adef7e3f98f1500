package hibiscuscoordination

import (
	"time"

	"hibiscusrouter/hibiscusstate"
)

// An operator drains a worker through any entry. The entry forwards the request to the worker's agent, which alone allocates its
// slots and notifies every entry. The operator is answered after the agent has confirmed, so that a request that was lost with a
// session is not reported as done. Only the agent's process stores the drain: a replaced VM starts undrained.

// drainTimeout bounds the wait for the agent's confirmation; a round trip takes about 1 ms.
const drainTimeout = time.Second

// drainRequest is an operator's request whose confirmation by the agent is pending.
type drainRequest struct {
	drained  bool
	operator string
	reply    func(error)
}

// DrainWorker drains the worker with an address, or ends its drain, and waits for the agent's confirmation; operator is the name
// in the audit trail. It returns ErrUnknownWorker, ErrNoAnswer after a second, or ErrStopped.
func (e *Entry) DrainWorker(address string, drained bool, operator string) error {
	answers := hibiscusstate.NewRing[error](1)
	request := &drainRequest{drained: drained, operator: operator, reply: func(err error) { answers.TryPush(err) }}
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

// confirmDrain answers a request once the agent reports the requested state.
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
