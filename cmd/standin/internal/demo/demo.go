// Package demo runs an end-to-end deployment in one process on loopback: stand-ins,
// two entries, sidecars for three engines and a plain service, a trainer, and users
// who chat and post hours. It checks the resulting counts.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/engine"
	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/ledger"
	standinplatform "github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/trainer"
	"github.com/bramleyhatch/bramleyhatch/cmd/standin/internal/weights"
	"github.com/bramleyhatch/bramleyhatch/internal/bramleyhatch"
	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

const (
	engines         = 3
	entries         = 2
	groups          = 8
	samplesPerGroup = 8
	postings        = 12
	chats           = 8
	retryInterval   = 20 * time.Millisecond
	stopGrace       = time.Second
	model           = "assistant"
	service         = "ledger"
	trainerKey      = "demo-trainer-key"
	memberKey       = "demo-member-key"
)

// Demo is one run of the demo. Exported fields are set before Run.
type Demo struct {
	// Folder holds the settings and ready files.
	Folder string
	// Out receives progress messages and the table of results.
	Out io.Writer
	// Verbose also prints the log.
	Verbose bool

	exits    chan error
	platform string
	entries  []string
	ledger   *ledger.Ledger
}

// Run starts all components, runs the workload and prints the results.
func (d *Demo) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.exits = make(chan error, 32)
	d.silenceLog()
	if err := d.start(ctx); err != nil {
		return err
	}
	trainerStandIn := &trainer.Trainer{
		Entries:       d.entries,
		Key:           trainerKey,
		Name:          "drafter",
		Model:         model,
		Groups:        groups,
		Samples:       samplesPerGroup,
		MaxTokens:     32,
		Staleness:     1,
		AnnounceAfter: groups * samplesPerGroup / 2,
		Version:       1,
	}
	load := &workload{entries: d.entries, key: memberKey}
	if err := d.runWorkload(ctx, trainerStandIn, load); err != nil {
		return err
	}
	return d.report(ctx, trainerStandIn, load)
}

func (d *Demo) silenceLog() {
	if d.Verbose {
		return
	}
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}

func (d *Demo) printProgress(format string, arguments ...any) {
	fmt.Fprintf(d.Out, "demo: "+format+"\n", arguments...)
}

func (d *Demo) start(ctx context.Context) error {
	var err error
	if d.platform, err = d.serve(ctx, standinplatform.New().Routes()); err != nil {
		return err
	}
	d.printProgress("platform on %s", d.platform)
	if err := d.writeLists(ctx); err != nil {
		return err
	}
	for i := range entries {
		if err := d.startEntry(ctx, i); err != nil {
			return err
		}
	}
	d.printProgress("%d entries on %v", entries, d.entries)
	if err := d.startServers(ctx); err != nil {
		return err
	}
	d.printProgress("%d engines and a plain service, each with its sidecar", engines)
	return nil
}

// writeLists writes plans, accounts and keys to the platform's store.
func (d *Demo) writeLists(ctx context.Context) error {
	config := listpb.Config_builder{
		Lists: 1,
		Plans: []*listpb.Plan{
			listpb.Plan_builder{Name: "members", Models: []string{model}, Services: []string{service}, Weight: 1}.Build(),
			listpb.Plan_builder{Name: "training", Models: []string{model}, Trainers: []string{"drafter"}, Weight: 1}.Build(),
		},
		Accounts: []*listpb.Account{
			listpb.Account_builder{Name: "franchise", Plan: "members"}.Build(),
			listpb.Account_builder{Name: "editors", Plan: "training"}.Build(),
		},
		Keys: []*listpb.Key{
			listpb.Key_builder{Hash: lists.HashKey(memberKey), Account: "franchise"}.Build(),
			listpb.Key_builder{Hash: lists.HashKey(trainerKey), Account: "editors"}.Build(),
		},
	}.Build()
	data, err := proto.Marshal(config)
	if err != nil {
		return err
	}
	_, err = platform.NewClient(d.platform, time.Second).CompareAndSwap(ctx, "config", 0, data, 0)
	return err
}

// serve starts serving the routes of a stand-in and returns its base URL.
func (d *Demo) serve(ctx context.Context, routes []rest.Route) (string, error) {
	listening := make(chan string, 1)
	server := &listen.HTTP{Address: "127.0.0.1:0", Routes: routes, OnListening: func(address string) { listening <- address }}
	go func() { d.exits <- server.Run(ctx, stopGrace) }()
	select {
	case address := <-listening:
		return "http://" + address, nil
	case err := <-d.exits:
		return "", err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (d *Demo) startEntry(ctx context.Context, i int) error {
	name := fmt.Sprintf("entry%d", i+1)
	text := d.commonSettings(name, i) + "[caller]\nlisten = 127.0.0.1:0\n[usage]\nwindow = 2s\nsettle = 1s\n[duty]\nlease = 2s\nmargin = 500ms\ninterval = 100ms\n"
	loaded := &settingspb.Entry{}
	if err := d.loadSettings(name, text, loaded); err != nil {
		return err
	}
	entry := &bramleyhatch.Entry{Settings: loaded}
	go func() { d.exits <- entry.Run(ctx) }()
	addresses, err := d.awaitReady(ctx, name)
	if err != nil {
		return err
	}
	d.entries = append(d.entries, "http://"+addresses.Caller)
	return d.registerHost(ctx, name, "entry", addresses.Peer, i)
}

func (d *Demo) startServers(ctx context.Context) error {
	store, err := d.serve(ctx, (&weights.Weights{Size: 1 << 20, Rate: 64 << 20}).Routes())
	if err != nil {
		return err
	}
	for i := range engines {
		standIn := &engine.Engine{
			Model: model, Slots: 4, Queue: 64, TokenTime: 8 * time.Millisecond, PrefillTime: 50 * time.Microsecond,
			SwapTime: 100 * time.Millisecond, LoadLag: 200 * time.Millisecond, CacheBlocks: 1024, Weights: store,
		}
		if err := d.startSidecar(ctx, i, "engine", model, standIn.Routes()); err != nil {
			return err
		}
	}
	d.ledger = &ledger.Ledger{}
	return d.startSidecar(ctx, engines, "plain", service, d.ledger.Routes())
}

func (d *Demo) startSidecar(ctx context.Context, i int, kind, pool string, routes []rest.Route) error {
	address, err := d.serve(ctx, routes)
	if err != nil {
		return err
	}
	server := fmt.Sprintf("server%d", i+1)
	name := fmt.Sprintf("sidecar%d", i+1)
	text := d.commonSettings(name, i) + fmt.Sprintf("[backend]\nserver = %s\naddress = %s\nkind = %s\npool = %s\n[usage]\nwindow = 2s\nsettle = 1s\n", server, address, kind, pool)
	loaded := &settingspb.Sidecar{}
	if err := d.loadSettings(name, text, loaded); err != nil {
		return err
	}
	sidecar := &bramleyhatch.Sidecar{Settings: loaded}
	go func() { d.exits <- sidecar.Run(ctx) }()
	addresses, err := d.awaitReady(ctx, name)
	if err != nil {
		return err
	}
	registered := platform.Server{ID: server, Pool: pool, Kind: kind, Zone: zoneName(i), State: "live"}
	if err := listen.Post(ctx, "control", d.platform+"/control/servers", registered); err != nil {
		return err
	}
	return d.registerHost(ctx, name, "sidecar", addresses.Peer, i)
}

func zoneName(i int) string { return fmt.Sprintf("zone%d", i%2+1) }

func (d *Demo) commonSettings(name string, i int) string {
	return fmt.Sprintf("[process]\nname = %s\nregion = demo\nzone = %s\npeer = 127.0.0.1:0\nready = %s\ngrace = 1s\n[platform]\naddress = %s\n[member]\ninterval = 100ms\n",
		name, zoneName(i), d.readyFile(name), d.platform)
}

func (d *Demo) readyFile(name string) string { return filepath.Join(d.Folder, name+".ready") }

// loadSettings writes a settings file and loads it as the programs do.
func (d *Demo) loadSettings(name, text string, message proto.Message) error {
	file := filepath.Join(d.Folder, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	return settings.Load(file, message)
}

// awaitReady waits for the ready file of an entry or sidecar.
func (d *Demo) awaitReady(ctx context.Context, name string) (bramleyhatch.Addresses, error) {
	var addresses bramleyhatch.Addresses
	for {
		text, err := os.ReadFile(d.readyFile(name))
		if err == nil {
			return addresses, json.Unmarshal(text, &addresses)
		}
		select {
		case err := <-d.exits:
			return addresses, errors.Join(fmt.Errorf("process %s did not start", name), err)
		case <-ctx.Done():
			return addresses, ctx.Err()
		case <-time.After(retryInterval):
		}
	}
}

func (d *Demo) registerHost(ctx context.Context, name, role, address string, i int) error {
	host := platform.Host{Name: name, Address: address, Zone: zoneName(i), Role: role, State: "live"}
	return listen.Post(ctx, "control", d.platform+"/control/hosts", host)
}
