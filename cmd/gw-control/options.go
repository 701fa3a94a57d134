package main

import (
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"godwitward.example/godwitward/internal/control"
	"godwitward.example/godwitward/internal/daemon"
	"godwitward.example/godwitward/internal/finding"
	"godwitward.example/godwitward/internal/replica"
	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/ledger"
)

var startModes = map[string]replica.StartMode{
	"existing": replica.StartExisting,
	"found":    replica.StartBootstrap,
	"join":     replica.StartJoin,
}

type options struct {
	process  settings.Process
	internal settings.TLS
	operator settings.TLS

	memberID       uint64
	listen         string
	operatorListen string
	dataDir        string
	memberList     string
	start          string
	shards         int
	ledgerMiB      int64
	readers        string
	changers       string

	members map[uint64]string
}

func (o *options) addFlags(app *kingpin.Application) {
	o.process.AddFlags(app)
	app.Flag("member-id", "Id of this member, at least 1; the id of a removed member must not be used again.").Required().Uint64Var(&o.memberID)
	app.Flag("listen", "Address for sessions from daemons and other members.").Default("127.0.0.1:7300").StringVar(&o.listen)
	app.Flag("operator-listen", "Address for operators.").Default("127.0.0.1:7301").StringVar(&o.operatorListen)
	app.Flag("data-dir", "Directory for the log and the snapshots.").Required().StringVar(&o.dataDir)
	app.Flag("members", "Session addresses of all members: 1=10.0.0.1:7300,2=10.0.0.2:7300.").Required().StringVar(&o.memberList)
	app.Flag("start", "existing: continue from the data directory. found: bootstrap a new store. join: first start of an added member. "+
		"Use found and join only for the first start, never in permanent settings: a member that lost its disk must join with a new id.").
		Default("existing").EnumVar(&o.start, "existing", "found", "join")
	app.Flag("ledger-shards", "Number of ledger groups; must be the same for all members and must never change.").
		Default(strconv.Itoa(control.DefaultLedgerShards)).IntVar(&o.shards)
	app.Flag("ledger-mib", "Memory limit of each ledger group, MiB; must be the same for all members.").Default("256").Int64Var(&o.ledgerMiB)
	app.Flag("operator-readers", "Operators with read access, separated by commas; empty: all.").StringVar(&o.readers)
	app.Flag("operator-changers", "Operators with read and write access, separated by commas; empty: all with read access.").StringVar(&o.changers)
	o.internal.AddFlags(app, "internal", "sessions between daemons")
	o.operator.AddFlags(app, "operator", "operators")
}

func (o *options) check(l *finding.List) {
	o.process.Check(l, program)
	// Other members redirect gwctl to this address while this member leads.
	settings.CheckPeerAddr(l, "--operator-listen", o.operatorListen)
	o.process.CheckVM(l, o.listen)
	o.internal.Check(l, o.listen, true, o.process.AllowPlainText)
	o.operator.Check(l, o.operatorListen, true, o.process.AllowPlainText)
	o.members = parseMembers(l, o.memberList)
	if o.memberID == 0 {
		l.Addf("--member-id", "must be at least 1")
	}
	if _, ok := o.members[o.memberID]; !ok {
		// The other members dial a member that is not in --members at its
		// listen address.
		settings.CheckPeerAddr(l, "--listen", o.listen)
	} else {
		settings.CheckIPAddr(l, "--listen", o.listen)
	}
	if _, ok := o.members[o.memberID]; !ok && o.start == "found" {
		l.Addf("--members", "does not list member %d, which bootstraps the store", o.memberID)
	}
	if o.shards < 1 {
		l.Addf("--ledger-shards", "must be at least 1")
	}
	if o.ledgerMiB < 1 {
		l.Addf("--ledger-mib", "must be at least 1")
	}
}

func parseMembers(l *finding.List, list string) map[uint64]string {
	out := map[uint64]string{}
	for i, part := range settings.SplitList(list) {
		field := "--members[" + strconv.Itoa(i) + "]"
		number, address, _ := strings.Cut(part, "=")
		id, err := strconv.ParseUint(number, 10, 64)
		if err != nil || id == 0 {
			l.Addf(field, "%q is not of the form 1=10.0.0.1:7300", part)
			continue
		}
		settings.CheckPeerAddr(l, field, address)
		if _, ok := out[id]; ok {
			l.Addf(field, "member %d is listed twice", id)
		}
		out[id] = address
	}
	return out
}

// config returns the configuration of the daemon without TLS, which main adds.
func (o *options) config() daemon.ControlConfig {
	return daemon.ControlConfig{
		Self:      o.process.Hello(program),
		Sessions:  o.listen,
		Operators: o.operatorListen,
		Store: control.Options{
			ID:        o.memberID,
			Address:   o.members[o.memberID],
			Shards:    o.shards,
			Ledger:    ledger.Limits{MaxBytes: o.ledgerMiB << 20},
			Authorize: o.authorize,
		},
		Cluster: control.ClusterOptions{
			Dir:     o.dataDir,
			Start:   startModes[o.start],
			Members: o.members,
			Seed:    o.memberID,
		},
	}
}

// authorize checks an operator against the lists of readers and changers.
func (o *options) authorize(operator string, change bool) error {
	readers, changers := settings.SplitList(o.readers), settings.SplitList(o.changers)
	mayChange := len(changers) == 0 || slices.Contains(changers, operator)
	mayRead := len(readers) == 0 || slices.Contains(readers, operator) || len(changers) > 0 && mayChange
	if !mayRead || change && !mayChange {
		return errors.Errorf("operator %q has no permission for this", operator)
	}
	return nil
}
