// Package wal is a write-ahead log that stores the durable state of several
// replication groups, so that one sync covers all of them.
//
// The log is a sequence of segment files. A segment holds frames, each with a
// sequence number and a CRC32C checksum over all of its bytes. Each flush writes
// one frame (group commit): callers of Write that arrive while a sync runs share
// the next frame and its sync. Each segment starts with a checkpoint, a frame
// that repeats the identity and the hard state and snapshot position of all
// groups, so that older segments can be removed.
//
// # Failures
//
// An invalid frame with no valid frame after it is a torn write that was never
// acknowledged; Open truncates it. An invalid frame that is followed by a valid
// one, or that lies in a segment other than the last, means that acknowledged
// data was corrupted; Open returns a CorruptionError with the file and the
// offset. Corruption of only the last frame can't be distinguished from a torn
// write.
//
// After a failed sync the state on disk is unknown. Write, WriteSnapshot,
// ReadSnapshot and Compact then fail with ErrFailed, and the caller must
// terminate the process. A full disk is different: the partial write is
// truncated, Write returns ErrDiskFull, nothing of the batch is stored, and a
// later Write may succeed.
package wal
