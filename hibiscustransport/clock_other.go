//go:build !linux

package hibiscustransport

import "time"

// suspendedTime returns zero: only on Linux the time of a suspension is known.
func suspendedTime() time.Duration { return 0 }
