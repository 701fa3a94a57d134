// Command gw-standin runs one stand-in engine or plain service for tests. It
// exits with status 1 after an injected crash.
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
	app.Flag("total-pieces", "Decode memory, in KV cache blocks (pieces).").IntVar(&s.TotalPieces)
	app.Flag("max-batch", "Maximum number of requests in a decode batch.").IntVar(&s.MaxBatch)
	app.Flag("decode-per-token", "Decode time per token with a single request in the batch.").DurationVar(&s.DecodePerToken)
	app.Flag("link-rate", "KV cache link rate, bytes/s.").Int64Var(&s.LinkBytesPerSecond)
	app.Flag("kv-bytes-per-token", "KV cache size, bytes per token.").Int64Var(&s.KVBytesPerToken)
	app.Flag("checks-fencing", "Refuse orders with an outdated fencing token.").BoolVar(&s.ChecksFencing)
	app.Flag("service-delay", "Service time of a plain call.").DurationVar(&s.ServiceDelay)
	app.Flag("concurrency", "Maximum number of concurrent plain calls; further calls are refused as not run.").IntVar(&s.Concurrency)
	app.Flag("failure-rate", "Share of plain calls that fail after having run.").Float64Var(&s.FailureRate)
	app.Flag("crash-after-run", "Crash after this number of plain calls has run, before the last one is answered; 0: never.").IntVar(&s.CrashAfterRun)
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	instance, err := standin.Start(ctx, s)
	if err != nil {
		log.Fatal().Err(err).Msg("starting stand-in")
	}
	log.Info().Str("id", s.ID).Str("role", s.Role).Str("addr", instance.Addr()).Msg("stand-in is listening")
	<-instance.Done()
	crashed := ctx.Err() == nil
	instance.Close()
	if crashed {
		os.Exit(1)
	}
}
