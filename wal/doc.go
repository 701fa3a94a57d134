// Package wal stores the durable state of several replication groups in one
// log, so that one sync covers all of them.
//
// The log is a sequence of segment files. A segment holds frames, each with a
// sequence number and a CRC32C checksum over all of its bytes. One frame holds
// everything that one flush wrote: callers of Write that arrive while a sync
// runs share the next frame and its sync. Each segment starts with a frame that
// repeats the hard state and the snapshot position of all groups, so that
// older segments can be removed.
//
// # Failures
//
// An invalid frame with no valid frame after it is the torn end of a write
// that was never acknowledged; Open truncates it. An invalid frame that a
// valid frame follows, or one in a segment that isn't the last, means that
// acknowledged data was damaged; Open returns a CorruptionError that names the
// file and the offset. Damage that is confined to the very last frame can't be
// told from a torn write.
//
// A failed sync leaves unknown what is on disk. The log then refuses every
// further call with ErrFailed, and the caller must terminate the process. A
// full disk is different: the partial write is cut off, ErrDiskFull is
// returned, nothing of the batch is stored, and a later Write may succeed.
package wal
