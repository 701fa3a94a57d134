package soak

import (
	"fmt"
	"math/rand/v2"

	"godwitward.example/godwitward/platform/standin"
)

// The choices of what runners state, apart from standin.Stated and standin.Absent.
const (
	// Drawn draws it from the seed.
	Drawn = "drawn"
	// Usual is what runners stated in the runs before it was drawn.
	Usual = "usual"
)

// StatementChoices are the choices for one statement.
var StatementChoices = []string{Drawn, Usual, string(standin.Stated), string(standin.Absent)}

// Statements are the choices of what all runners of a run state. An empty one is Usual.
type Statements struct {
	StartInReport, StartInHeartbeat, KeepAlive, Close, WeightsInRefusal string
}

// drawn returns what the runners of a run with a seed state. The draws depend on the seed
// alone, not on the choices, and the faults not on the draws.
func (c Statements) drawn(seed uint64) standin.Statements {
	random := rand.New(rand.NewPCG(seed, 3))
	choose := func(choice string, absent bool) standin.Statement {
		switch {
		case choice == "" || choice == Usual:
			return standin.Usual
		case choice != Drawn:
			return standin.Statement(choice)
		case absent:
			return standin.Absent
		}
		return standin.Stated
	}
	// Thirds: the start is stated, left out of the answer to GET /report, or told nowhere.
	start := random.IntN(3)
	s := standin.Statements{
		StartInReport: choose(c.StartInReport, start > 0), StartInHeartbeat: choose(c.StartInHeartbeat, start > 1),
		KeepAlive: choose(c.KeepAlive, random.IntN(2) == 0), Close: choose(c.Close, random.IntN(2) == 0), WeightsInRefusal: choose(c.WeightsInRefusal, random.IntN(2) == 0),
	}
	if s.StartInHeartbeat == standin.Absent {
		// A process that does not tell its start to the core daemons does not tell it to others.
		s.StartInReport = standin.Absent
	}
	return s
}

// describeStatements returns what the runners of a run state.
func describeStatements(s standin.Statements) string {
	word := func(s standin.Statement) string {
		if s == standin.Usual {
			return Usual
		}
		return string(s)
	}
	return fmt.Sprintf("runners: start-in-report %s, start-in-heartbeat %s, keep-alive %s, connection-close %s, weights-in-refusal %s",
		word(s.StartInReport), word(s.StartInHeartbeat), word(s.KeepAlive), word(s.Close), word(s.WeightsInRefusal))
}
