package hibiscustransport

//go:generate stringer -type=LimitReason -linecomment -output=limit_reason_string.go

// LimitReason is the limit for which a connection was closed or a request refused.
type LimitReason int

// The limits of a listener.
const (
	limitNone        LimitReason = iota // none
	LimitConnections                    // connections
	LimitAddress                        // address_connections
	LimitDescriptors                    // descriptors
	LimitHeadBytes                      // head_bytes
	LimitHeadTime                       // head_time
	LimitHeadMemory                     // head_memory
	LimitBodyBytes                      // body_bytes
	LimitBodyTime                       // body_time
	LimitBodyMemory                     // body_memory
	LimitIdleTime                       // idle_time
	LimitAnswerTime                     // answer_time
)

// refusal returns the answer to a request that was not read whole, empty for none. Nothing of such a request has run.
func (r LimitReason) refusal() string {
	const end = "Connection: close\r\nContent-Length: 0\r\n\r\n"
	switch r {
	case LimitHeadBytes:
		return "HTTP/1.1 431 Request Header Fields Too Large\r\n" + end
	case LimitHeadTime, LimitBodyTime:
		return "HTTP/1.1 408 Request Timeout\r\n" + end
	case LimitConnections, LimitAddress, LimitDescriptors, LimitHeadMemory, LimitBodyMemory, LimitIdleTime:
		return "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + end
	case limitNone, LimitBodyBytes, LimitAnswerTime:
	}
	return ""
}
