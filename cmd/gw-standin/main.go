// Command gw-standin runs one stand-in engine or plain service for tests. It
// exits with status 1 after a crash on command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/phuslu/log"

	"godwitward.example/godwitward/internal/settings"
	"godwitward.example/godwitward/internal/standin"
)

func main() {
	log.DefaultLogger.Writer = &log.ConsoleWriter{Formatter: log.LogfmtFormatter{TimeField: "ts"}.Formatter}
	var s standin.Settings
	app := kingpin.New("gw-standin", "Run a stand-in upstream for tests.")
	app.Version(settings.VersionLine("gw-standin"))
	app.Flag("id", "Upstream id.").Required().StringVar(&s.ID)
	app.Flag("service", "Upstream service.").Required().StringVar(&s.Service)
	app.Flag("role", "prefill, decode or plain.").Required().EnumVar(&s.Role,
		standin.RolePrefill, standin.RoleDecode, standin.RolePlain)
	app.Flag("region", "Region.").StringVar(&s.Region)
	app.Flag("place", "Place.").StringVar(&s.Place)
	app.Flag("listen", "Address to listen on; free port by default.").StringVar(&s.Listen)
	app.Flag("entry", "Base URL of an entry; repeatable.").StringsVar(&s.Entries)
	app.Flag("model", "Loaded model; repeatable.").StringsVar(&s.Models)
	app.Flag("seed", "Seed of random choices.").Uint64Var(&s.Seed)
	app.Flag("prefill-speed", "Prefill speed, tokens/s.").IntVar(&s.PrefillTokensPerSecond)
	app.Flag("total-pieces", "Decode memory, pieces.").IntVar(&s.TotalPieces)
	app.Flag("max-batch", "Requests decoded at once.").IntVar(&s.MaxBatch)
	app.Flag("decode-per-token", "Time per token of a single request.").DurationVar(&s.DecodePerToken)
	app.Flag("link-rate", "KV cache link rate, bytes/s.").Int64Var(&s.LinkBytesPerSecond)
	app.Flag("kv-bytes-per-token", "KV cache size, bytes per token.").Int64Var(&s.KVBytesPerToken)
	app.Flag("checks-fencing", "Refuse orders with an old fencing token.").BoolVar(&s.ChecksFencing)
	app.Flag("service-delay", "Time per plain call.").DurationVar(&s.ServiceDelay)
	app.Flag("concurrency", "Plain calls at once.").IntVar(&s.Concurrency)
	app.Flag("failure-rate", "Share of plain calls that fail after they ran.").Float64Var(&s.FailureRate)
	app.Flag("crash-after-run", "Crash after this many plain calls ran.").IntVar(&s.CrashAfterRun)
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	peer, err := standin.Start(ctx, s)
	if err != nil {
		log.Fatal().Err(err).Msg("starting stand-in")
	}
	log.Info().Str("id", s.ID).Str("role", s.Role).Str("addr", peer.Addr()).Msg("stand-in is listening")
	<-peer.Done()
	crashed := ctx.Err() == nil
	peer.Close()
	if crashed {
		os.Exit(1)
	}
}
