package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

// watchSettings checks the settings file on each SIGHUP until the context ends.
//
// SIGHUP would otherwise terminate the process with all its open requests. Settings
// hold addresses and lease durations that can't change while a process runs, so a
// changed file is checked and logged, and applies from the next start; a file that
// cannot be loaded changes nothing.
func watchSettings(ctx context.Context, file string, inForce proto.Message) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			reload(file, inForce)
		}
	}
}

func reload(file string, inForce proto.Message) {
	next := inForce.ProtoReflect().New().Interface()
	err := settings.Load(file, next)
	switch {
	case err != nil:
		klog.ErrorS(err, "settings: cannot load the changed file; the settings in force stay", "file", file)
	case proto.Equal(next, inForce):
		klog.InfoS("settings: file checked; nothing has changed", "file", file)
	default:
		klog.InfoS("settings: file checked; the changes apply from the next start", "file", file)
	}
}
