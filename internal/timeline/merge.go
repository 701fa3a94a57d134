package timeline

import (
	"bufio"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"

	pb "godwitward.example/godwitward/api/godwitward/v1"
)

// MaxLineBytes bounds one line of an event log.
const MaxLineBytes = 1 << 20

// Merge returns the events of all lists in clock order without duplicates. An
// event that was read both from the log and from the ring buffer of a process
// has the same time, process and kind in both, and is kept once.
func Merge(lists ...[]*pb.Event) []*pb.Event {
	var all []*pb.Event
	for _, l := range lists {
		all = append(all, l...)
	}
	sort.SliceStable(all, func(i, j int) bool { return lessEvent(all[i], all[j]) })
	out := all[:0]
	for _, e := range all {
		if n := len(out); n > 0 && sameEvent(out[n-1], e) {
			continue
		}
		out = append(out, e)
	}
	return out
}

func lessEvent(a, b *pb.Event) bool {
	if a.Time.GetWallUs() != b.Time.GetWallUs() || a.Time.GetLogical() != b.Time.GetLogical() {
		return Before(a.Time, b.Time)
	}
	return a.Process < b.Process
}

func sameEvent(a, b *pb.Event) bool {
	return a.Process == b.Process && a.Kind == b.Kind && !Before(a.Time, b.Time) && !Before(b.Time, a.Time)
}

// ReadLog reads the events of a key=value log and skips all other lines. process
// is the process of events with a wall-clock time whose line does not name one.
func ReadLog(r io.Reader, process string) ([]*pb.Event, error) {
	var events []*pb.Event
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, MaxLineBytes)
	for sc.Scan() {
		if e, ok := ParseHLCLine(sc.Text()); ok {
			events = append(events, e)
		} else if e, ok := ParseWallTimeLine(sc.Text(), process); ok {
			events = append(events, e)
		}
	}
	return events, sc.Err()
}

// ParseHLCLine parses a key=value line with a reading of a hybrid logical clock,
// as Recorder logs it. It reports false for any other line.
func ParseHLCLine(line string) (*pb.Event, bool) {
	e := &pb.Event{Time: &pb.Timestamp{}}
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimLeft(line, " ") {
		var key, value string
		var ok bool
		key, value, line, ok = nextPair(line)
		if !ok {
			return nil, false
		}
		if !setField(e, key, value) {
			return nil, false
		}
	}
	return e, e.Kind != "" && e.Time.WallUs != 0
}

// ParseWallTimeLine parses a key=value line with a wall-clock time instead of a
// reading of a hybrid logical clock. The forwarding daemons log such lines. Their
// wall clocks are close but not equal, so events of different processes may be
// out of order by the difference. process is the process of an event whose line
// does not name one.
func ParseWallTimeLine(line, process string) (*pb.Event, bool) {
	e := &pb.Event{Time: &pb.Timestamp{}, Process: process}
	for line = strings.TrimSpace(line); line != ""; line = strings.TrimLeft(line, " ") {
		key, value, rest, ok := nextPair(line)
		if !ok {
			return nil, false
		}
		line = rest
		switch key {
		case "time":
			at, err := time.Parse(time.RFC3339, value)
			if err != nil {
				return nil, false
			}
			e.Time.WallUs = at.UnixMicro()
		case "id":
			e.RequestId = value
		default:
			if !setField(e, key, value) {
				return nil, false
			}
		}
	}
	return e, e.Kind != "" && e.Time.WallUs != 0
}

func nextPair(line string) (key, value, rest string, ok bool) {
	key, rest, ok = strings.Cut(line, "=")
	if !ok {
		return "", "", "", false
	}
	if !strings.HasPrefix(rest, `"`) {
		value, rest, _ = strings.Cut(rest, " ")
		return key, value, rest, true
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return "", "", "", false
	}
	value, err = strconv.Unquote(quoted)
	return key, value, rest[len(quoted):], err == nil
}

// setField sets the field of e that key names, or adds an attribute. It ignores
// time and level, and reports whether value is valid.
func setField(e *pb.Event, key, value string) bool {
	var err error
	switch key {
	case "time", "level":
	case "event":
		e.Kind = value
	case "hlc_us":
		e.Time.WallUs, err = strconv.ParseInt(value, 10, 64)
	case "hlc_seq":
		var n uint64
		n, err = strconv.ParseUint(value, 10, 32)
		e.Time.Logical = uint32(n)
	case "vm":
		e.Vm = value
	case "process":
		e.Process = value
	case "request":
		e.RequestId = value
	case "attempt":
		var n uint64
		n, err = strconv.ParseUint(value, 10, 32)
		e.Attempt = uint32(n)
	case "upstream":
		e.Upstream = value
	case "lease":
		e.Lease = value
	default:
		e.Attributes = append(e.Attributes, &pb.Attribute{Key: key, Value: value})
	}
	return err == nil
}

// Filter returns the events that match f, only the last f.Limit of them when it
// is set.
func Filter(events []*pb.Event, f *pb.EventsRequest) []*pb.Event {
	var out []*pb.Event
	for _, e := range events {
		if Match(e, f) {
			out = append(out, e)
		}
	}
	if limit := int(f.GetLimit()); limit > 0 && len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}
