// Package protocol states what the builds of daemons can do, so that daemons of different
// builds can serve side by side. It makes no decisions: those who read a message ask the
// level of its sender what a field that is missing means.
package protocol

import pb "godwitward.example/godwitward/api/godwitward/v1"

// Level orders the builds by what they understand and pass on. Each daemon states its own
// in the hello of a session. It increases when a build sends, stores or understands
// something whose absence matters to a reader.
type Level uint32

const (
	// Unstated is the level of all builds before levels. They may drop the service, the
	// model and the weights from records of streams that they pass on or store, may know no
	// services that routes have left, and may relay no connections.
	Unstated Level = 0
	// RunVersions is the level of builds that keep all versions of a stream's run.
	RunVersions Level = 1
	// Majorities is the level of builds whose core daemons keep at a majority which processes leave
	// and which versions are in use.
	Majorities Level = 2
	// Current is the level of this build.
	Current = Majorities
)

// Of returns the level that a daemon stated in its hello.
func Of(peer *pb.Hello) Level { return Level(peer.GetLevel()) }

// KeepsRunVersions reports whether a daemon keeps and passes on all versions of a run.
func (l Level) KeepsRunVersions() bool { return l >= RunVersions }

// KeepsAtMajority reports whether a core daemon stores processes that leave, and notes and lists
// versions in use, when it is asked to.
func (l Level) KeepsAtMajority() bool { return l >= Majorities }
