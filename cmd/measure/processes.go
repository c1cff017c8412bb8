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
	readyBound = 30 * time.Second
	forceBound = 30 * time.Second
	pollPause  = 50 * time.Millisecond
	accountKey = "measure-key"
	// zones are those of the processes, in turn.
	zones = 7
)

// processes are the programs of one measurement.
type processes struct {
	folder   string
	programs string

	platform string
	commands []*exec.Cmd
	// caller is the address of the entry for callers.
	caller string
}

// change writes a configuration with a number of its own to the store.
func (p *processes) change(ctx context.Context, number uint64) error {
	client := platform.NewClient(p.platform, time.Second)
	expect := uint64(0)
	if value, err := client.Get(ctx, "config"); err == nil {
		expect = value.Revision
	}
	plan := listpb.Plan_builder{Name: "plan", Models: []string{"assistant"}, Services: []string{"ledger"}, Weight: float64(number)}.Build()
	key := listpb.Key_builder{Hash: lists.HashKey(accountKey), Account: "account"}.Build()
	account := listpb.Account_builder{Name: "account", Plan: "plan"}.Build()
	data, err := proto.Marshal(listpb.Config_builder{Lists: number, Plans: []*listpb.Plan{plan}, Accounts: []*listpb.Account{account}, Keys: []*listpb.Key{key}}.Build())
	if err != nil {
		return err
	}
	_, err = client.CompareAndSwap(ctx, "config", expect, data, 0)
	return err
}

func (p *processes) startEntry(ctx context.Context, i int) error {
	name := fmt.Sprintf("entry%d", i)
	addresses, err := p.runSettings(ctx, "entry", name, p.common(name, i)+"[caller]\nlisten = 127.0.0.1:0\n")
	if err != nil {
		return err
	}
	p.caller = addresses["caller"]
	return p.host(ctx, name, "entry", addresses["peer"], i)
}

func (p *processes) startSidecar(ctx context.Context, i int, kind, pool, backend string) error {
	name := fmt.Sprintf("sidecar%d", i)
	text := p.common(name, i) + fmt.Sprintf("[backend]\nserver = server%d\naddress = http://%s\nkind = %s\npool = %s\n", i, backend, kind, pool)
	addresses, err := p.runSettings(ctx, "sidecar", name, text)
	if err != nil {
		return err
	}
	return p.host(ctx, name, "sidecar", addresses["peer"], i)
}

func (p *processes) common(name string, i int) string {
	return fmt.Sprintf("[process]\nname = %s\nregion = region%d\nzone = zone%d\npeer = 127.0.0.1:0\nready = %s\n[platform]\naddress = %s\n",
		name, i%2, i%zones, p.file(name+".ready"), p.platform)
}

func (p *processes) file(name string) string { return filepath.Join(p.folder, name) }

func (p *processes) host(ctx context.Context, name, role, address string, i int) error {
	host := platform.Host{Name: name, Role: role, Address: address, Zone: fmt.Sprintf("zone%d", i%zones), State: "live"}
	return listen.Post(ctx, "measure", p.platform+"/control/hosts", host)
}

func (p *processes) runSettings(ctx context.Context, kind, name, text string) (map[string]string, error) {
	if err := os.WriteFile(p.file(name+".ini"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	return p.launch(ctx, "bramleyhatch", name, kind, "--settings", p.file(name+".ini"))
}

func (p *processes) runStandin(ctx context.Context, name, kind string, flags ...string) (map[string]string, error) {
	return p.launch(ctx, "standin", name, append([]string{kind, "--ready", p.file(name + ".ready")}, flags...)...)
}

// launch starts a program and waits for its ready file.
func (p *processes) launch(ctx context.Context, program, name string, args ...string) (map[string]string, error) {
	path, err := filepath.Abs(filepath.Join(p.programs, program))
	if err != nil {
		return nil, err
	}
	command := exec.CommandContext(ctx, path, args...) //nolint:gosec // the operator names the folder of the project's own programs
	if err := command.Start(); err != nil {
		return nil, err
	}
	p.commands = append(p.commands, command)
	for deadline := time.Now().Add(readyBound); time.Now().Before(deadline); time.Sleep(pollPause) {
		text, err := os.ReadFile(p.file(name + ".ready"))
		if err != nil {
			continue
		}
		addresses := map[string]string{}
		return addresses, json.Unmarshal(text, &addresses)
	}
	return nil, fmt.Errorf("%s was not ready within %v", name, readyBound)
}

// stop ends all programs that it started.
func (p *processes) stop() {
	for _, command := range p.commands {
		_ = command.Process.Kill()
	}
	for _, command := range p.commands {
		_ = command.Wait()
	}
}
