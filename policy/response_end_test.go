package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against responses of killed processes that count as complete, and those of
// processes that are alive but full, leaving or hard to reach that do not.
func TestEndOfResponseIsProvedByTheLivingProcess(t *testing.T) {
	late := ShortestRestart + time.Millisecond
	for name, c := range map[string]struct {
		end  ResponseEnd
		want EndStep
	}{
		"nothing known":                      {ResponseEnd{}, EndConnect},
		"accepts":                            {ResponseEnd{Connects: []ConnectResult{ConnectOpen}}, EndComplete},
		"refuses":                            {ResponseEnd{Connects: []ConnectResult{ConnectRefused}}, EndUnproved},
		"refuses, old connection":            {ResponseEnd{Older: 1, OlderOpen: 1, Connects: []ConnectResult{ConnectRefused}}, EndUnproved},
		"leaves, refuses":                    {ResponseEnd{Leaving: true, Connects: []ConnectResult{ConnectRefused}}, EndUnproved},
		"leaves, refuses, old connection":    {ResponseEnd{Leaving: true, Older: 1, OlderOpen: 1, Connects: []ConnectResult{ConnectRefused}}, EndComplete},
		"resets once":                        {ResponseEnd{Connects: []ConnectResult{ConnectReset}}, EndConnect},
		"ends while it is asked":             {ResponseEnd{Connects: []ConnectResult{ConnectReset, ConnectRefused}}, EndUnproved},
		"full":                               {ResponseEnd{Connects: []ConnectResult{ConnectReset, ConnectReset}}, EndComplete},
		"full, old connection":               {ResponseEnd{Older: 2, OlderOpen: 1, Connects: []ConnectResult{ConnectReset, ConnectReset}}, EndComplete},
		"resets, old connections have ended": {ResponseEnd{Older: 2, Connects: []ConnectResult{ConnectReset, ConnectReset}}, EndUnproved},
		"silent":                             {ResponseEnd{Connects: []ConnectResult{ConnectFailed, ConnectFailed}}, EndUnproved},
		"silent, old connection":             {ResponseEnd{Older: 1, OlderOpen: 1, Connects: []ConnectResult{ConnectFailed, ConnectFailed}}, EndComplete},
		"old connections":                    {ResponseEnd{Older: 2, OlderOpen: 2}, EndSettle},
		"old connections stay":               {ResponseEnd{Older: 2, OlderOpen: 2, Settled: true}, EndComplete},
		"old connections ended":              {ResponseEnd{Older: 2, Settled: true}, EndConnect},
		"old connections, replaced":          {ResponseEnd{Older: 2, OlderOpen: 2, Settled: true, Replaced: true}, EndUnproved},
		"noticed late":                       {ResponseEnd{Age: late}, EndSettle},
		"noticed late, accepts":              {ResponseEnd{Age: late, Settled: true, Connects: []ConnectResult{ConnectOpen}}, EndUnproved},
		"noticed late, old connection stays": {ResponseEnd{Age: late, Settled: true, Older: 1, OlderOpen: 1}, EndComplete},
	} {
		require.Equal(t, c.want, c.end.Next(), name)
	}
}
