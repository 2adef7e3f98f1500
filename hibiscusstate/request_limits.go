package hibiscusstate

import "time"

// RequestLimits are an operator's limits of callers' requests; a zero stands for the default of the process.
type RequestLimits struct {
	maxHeadBytes int
	maxBodyBytes int
	headTimeout  time.Duration
	idleTimeout  time.Duration
}

// NewRequestLimits returns the limits of a request's head and body, of the time to send a head, and of the time between requests.
func NewRequestLimits(maxHeadBytes, maxBodyBytes int, headTimeout, idleTimeout time.Duration) RequestLimits {
	return RequestLimits{maxHeadBytes: maxHeadBytes, maxBodyBytes: maxBodyBytes, headTimeout: headTimeout, idleTimeout: idleTimeout}
}

// MaxHeadBytes returns the largest size of a head.
func (l RequestLimits) MaxHeadBytes() int { return l.maxHeadBytes }

// MaxBodyBytes returns the largest size of a body.
func (l RequestLimits) MaxBodyBytes() int { return l.maxBodyBytes }

// HeadTimeout returns the longest time from the first byte of a head to its last.
func (l RequestLimits) HeadTimeout() time.Duration { return l.headTimeout }

// IdleTimeout returns the longest time that a connection waits for a request.
func (l RequestLimits) IdleTimeout() time.Duration { return l.idleTimeout }

// Or returns the limits with the zeros replaced by those of others.
func (l RequestLimits) Or(others RequestLimits) RequestLimits {
	if l.maxHeadBytes == 0 {
		l.maxHeadBytes = others.maxHeadBytes
	}
	if l.maxBodyBytes == 0 {
		l.maxBodyBytes = others.maxBodyBytes
	}
	if l.headTimeout == 0 {
		l.headTimeout = others.headTimeout
	}
	if l.idleTimeout == 0 {
		l.idleTimeout = others.idleTimeout
	}
	return l
}
