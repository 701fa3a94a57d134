package fleet

import (
	"strconv"
	"strings"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/policy"
)

// processTextPrefix begins process texts. Reports may hold any character in the version of
// their software; one that begins so makes streams wait for a report that does not come.
const processTextPrefix = "\x01process-1 "

// ProcessText stands for the software version of a process whose report has not arrived, in
// records of streams that it began. Builds that do not know it take it for a version that no
// upstream has, and refuse the stream. bornMs is the start in Unix milliseconds; 0 if it is not
// known.
func ProcessText(id string, bornMs int64) string {
	return processTextPrefix + strconv.FormatInt(bornMs, 10) + " " + id
}

// ParseProcessText returns the id and the start of the process that a text stands for. ok is
// false if the text is a software version.
func ParseProcessText(text string) (id string, bornMs int64, ok bool) {
	text, found := strings.CutPrefix(text, processTextPrefix)
	born, id, complete := strings.Cut(text, " ")
	bornMs, err := strconv.ParseInt(born, 10, 64)
	return id, bornMs, found && complete && err == nil
}

// IsProcessText reports whether a software version stands for a process.
func IsProcessText(text string) bool {
	_, _, ok := ParseProcessText(text)
	return ok
}

// TellsSoftware reports whether a record tells the software of one process: it is not the mere
// end of a process that has not reported, and states a start. That of a process which states no
// version is its own. r may be nil.
func TellsSoftware(r *pb.UpstreamRecord) bool {
	return r != nil && r.BornMs != 0 && (r.SoftwareVersion != UnknownSoftware(r) || keepsVersions(r))
}

// ResolveProcess returns versions in which the process text is replaced by what the report r of
// the process states. ok is false if they name another process, or none; r may be nil.
func ResolveProcess(v policy.RunVersions, r *pb.UpstreamRecord) (resolved policy.RunVersions, ok bool) {
	id, bornMs, unresolved := ParseProcessText(v.Software)
	if !unresolved || !TellsSoftware(r) || r.Id != id || r.BornMs != bornMs || r.Service != v.Service {
		return v, false
	}
	v.Software = r.SoftwareVersion
	if v.Weights == "" {
		v.Weights = RunVersions(r, v.Model).Weights
	}
	return v, true
}
