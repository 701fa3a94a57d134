// Package streamlog keeps on a core daemon's disk at which software version the streams of
// the last minute began, so that they can go on after all processes have ended, and which
// upstream processes drain or have ended, so that nobody sends them requests again.
//
// Records are appended to segment files in batches, each with a checksum and synced at
// once. They are not replicated here: hubs exchange them, and each stores all. What the
// last batch lacks, or a torn one at the end of a segment, is lost; such a stream is
// refused. Who appends a process that leaves is told when it is on the disk. Segments are removed as soon as all their records have expired. A disk that is
// full or fails costs records, never the daemon.
package streamlog
