// Package boottime reads a clock that also advances while the machine is suspended.
// Go's monotonic clock does not, so a permission that is measured with it alone
// seems valid after a suspension that it did not outlast.
package boottime

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBoottime is CLOCK_BOOTTIME of Linux.
const clockBoottime = 7

// start gives the durations of a system without the clock.
var start = time.Now()

// Now returns the time since the machine was started, suspensions included. On a
// system without such a clock it returns the time since the process was started.
func Now() time.Duration {
	var ts syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clockBoottime, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
