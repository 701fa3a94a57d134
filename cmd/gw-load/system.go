package main

import (
	"context"
	"os"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/internal/dev"
	"godwitward.example/godwitward/internal/load"
)

// embedded runs the router in this process.
type embedded struct{}

type instance struct {
	system *dev.System
	dir    string
}

// Start implements load.System.
func (embedded) Start(ctx context.Context, policy string, routes []*pb.Route) (load.Instance, error) {
	dir, err := os.MkdirTemp("", "gw-load")
	if err != nil {
		return nil, err
	}
	system, err := dev.Start(ctx, dev.Config{DataDir: dir, Routes: routes, Policy: policy})
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	return &instance{system: system, dir: dir}, nil
}

// Entries implements load.Instance.
func (i *instance) Entries() []string {
	return []string{"http://" + i.system.Entry.Addr}
}

// Close implements load.Instance.
func (i *instance) Close() error {
	i.system.Close()
	return os.RemoveAll(i.dir)
}
