package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/platform"
)

const (
	readyTimeout = 30 * time.Second
	forceTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	accountKey   = "measure-key"
	// zoneCount is the number of zones, to which processes are assigned in rotation.
	zoneCount = 7
)

// processes runs the programs of one measurement.
type processes struct {
	folder   string
	programs string

	platformURL string
	commands    []*exec.Cmd
	// callerAddress is the entry's listen address for callers.
	callerAddress string
}

// writeConfig writes a configuration with the given revision of its lists to the store.
func (p *processes) writeConfig(ctx context.Context, listsRevision uint64) error {
	client := platform.NewClient(p.platformURL, time.Second)
	expect := uint64(0)
	if value, err := client.Get(ctx, "config"); err == nil {
		expect = value.Revision
	}
	plan := listpb.Plan_builder{Name: "plan", Models: []string{"assistant"}, Services: []string{"ledger"}, Weight: float64(listsRevision)}.Build()
	key := listpb.Key_builder{Hash: lists.HashKey(accountKey), Account: "account"}.Build()
	account := listpb.Account_builder{Name: "account", Plan: "plan"}.Build()
	data, err := proto.Marshal(listpb.Config_builder{Lists: listsRevision, Plans: []*listpb.Plan{plan}, Accounts: []*listpb.Account{account}, Keys: []*listpb.Key{key}}.Build())
	if err != nil {
		return err
	}
	_, err = client.CompareAndSwap(ctx, "config", expect, data, 0)
	return err
}

func (p *processes) startEntry(ctx context.Context, i int) error {
	name := fmt.Sprintf("entry%d", i)
	addresses, err := p.startProcess(ctx, "entry", name, p.commonSettings(name, i)+"[caller]\nlisten = 127.0.0.1:0\n")
	if err != nil {
		return err
	}
	p.callerAddress = addresses["caller"]
	return p.registerHost(ctx, name, "entry", addresses["peer"], i)
}

func (p *processes) startSidecar(ctx context.Context, i int, kind, pool, backend string) error {
	name := fmt.Sprintf("sidecar%d", i)
	text := p.commonSettings(name, i) + fmt.Sprintf("[backend]\nserver = server%d\naddress = http://%s\nkind = %s\npool = %s\n", i, backend, kind, pool)
	addresses, err := p.startProcess(ctx, "sidecar", name, text)
	if err != nil {
		return err
	}
	return p.registerHost(ctx, name, "sidecar", addresses["peer"], i)
}

func (p *processes) commonSettings(name string, i int) string {
	return fmt.Sprintf("[process]\nname = %s\nregion = region%d\nzone = zone%d\npeer = 127.0.0.1:0\nready = %s\n[platform]\naddress = %s\n",
		name, i%2, i%zoneCount, p.path(name+".ready"), p.platformURL)
}

func (p *processes) path(name string) string { return filepath.Join(p.folder, name) }

func (p *processes) registerHost(ctx context.Context, name, role, address string, i int) error {
	host := platform.Host{Name: name, Role: role, Address: address, Zone: fmt.Sprintf("zone%d", i%zoneCount), State: "live"}
	return listen.Post(ctx, "measure", p.platformURL+"/control/hosts", host)
}

func (p *processes) startProcess(ctx context.Context, kind, name, text string) (map[string]string, error) {
	if err := os.WriteFile(p.path(name+".ini"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	return p.launch(ctx, "bramleyhatch", name, kind, "--settings", p.path(name+".ini"))
}

func (p *processes) startStandin(ctx context.Context, name, kind string, flags ...string) (map[string]string, error) {
	return p.launch(ctx, "standin", name, append([]string{kind, "--ready", p.path(name + ".ready")}, flags...)...)
}

// launch starts a program, waits for its ready file and returns the addresses in it.
func (p *processes) launch(ctx context.Context, program, name string, args ...string) (map[string]string, error) {
	path, err := filepath.Abs(filepath.Join(p.programs, program))
	if err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, path, args...) //nolint:gosec // the operator sets the folder of the binaries
	if err := command.Start(); err != nil {
		return nil, err
	}
	p.commands = append(p.commands, command)
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		text, err := os.ReadFile(p.path(name + ".ready"))
		if err != nil {
			continue
		}
		addresses := map[string]string{}
		return addresses, json.Unmarshal(text, &addresses)
	}
	return nil, fmt.Errorf("%s wrote no ready file within %v", name, readyTimeout)
}

// stop kills all started programs and waits for them to exit.
func (p *processes) stop() {
	for _, command := range p.commands {
		_ = command.Process.Kill()
	}
	for _, command := range p.commands {
		_ = command.Wait()
	}
}
