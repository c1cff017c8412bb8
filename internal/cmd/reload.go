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

// watchSettings reads the settings file anew on SIGHUP, until the context ends.
//
// A process that did not take the signal would be ended by it, with all its open
// requests. Settings name addresses and lengths of leases that can't change under
// a running process, so a changed file is checked and told, and is in force from
// the next start; a file that can't be read changes nothing.
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
		klog.ErrorS(err, "settings: the changed file can't be read, the ones in force stay", "file", file)
	case proto.Equal(next, inForce):
		klog.InfoS("settings: read anew, nothing has changed", "file", file)
	default:
		klog.InfoS("settings: read anew, the changes are in force from the next start", "file", file)
	}
}
