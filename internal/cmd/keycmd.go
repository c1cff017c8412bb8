package cmd

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/bramleyhatch/bramleyhatch/internal/lists"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/pb/operatorpb"
)

const (
	keyPrefix        = "bh-"
	shownHashDigits  = 12
	maxGrantAttempts = 3
)

// keyCmd groups the commands for keys.
type keyCmd struct {
	Grant    keyGrantCmd    `cmd:"" help:"Grant a new key to a client account and print it once."`
	Withdraw keyWithdrawCmd `cmd:"" help:"Withdraw a key, even while the store is unavailable."`
	List     keyListCmd     `cmd:"" help:"List keys by the start of their hashes."`
}

// keyGrantCmd grants a key.
type keyGrantCmd struct {
	entryFlags
	outputFlag
	Account string        `arg:"" help:"Client account."`
	Wait    time.Duration `default:"15s" help:"Longest wait until the key works at every entry."`
}

// Help gives an example.
func (keyGrantCmd) Help() string {
	return "Example:\n  bramleyhatch key grant saryarka-branches\n\n" +
		"The key is generated locally and printed once. Only its hash is sent and stored."
}

// grantedKey is the JSON output of key grant.
type grantedKey struct {
	Account string `json:"account"`
	Key     string `json:"key"`
	Hash    string `json:"hash"`
}

// Run generates a random key and grants its hash. It retries if the outcome is
// unknown: granting the same hash again is idempotent.
func (k *keyGrantCmd) Run(out *streams) error {
	key := keyPrefix + rand.Text()
	request := operatorpb.GrantRequest_builder{Account: k.Account, Hash: lists.HashKey(key)}.Build()
	client, err := k.client()
	if err != nil {
		return err
	}
	var reply *operatorpb.ChangeReply
	for range maxGrantAttempts {
		reply, err = client.Grant(context.Background(), request)
		if !isUncertain(err) {
			break
		}
	}
	if err != nil {
		return err
	}
	if err := k.print(out, key, request.GetHash()); err != nil {
		return err
	}
	_, missing := waitInForce(client, reply.GetRevision(), k.Wait)
	if missing > 0 {
		return &NotInForceError{Revision: reply.GetRevision(), Missing: missing}
	}
	return nil
}

func (k *keyGrantCmd) print(out *streams, key, hash string) error {
	if k.isJSON() {
		return printJSON(out.stdout, grantedKey{Account: k.Account, Key: key, Hash: hash})
	}
	fmt.Fprintln(out.stdout, key)
	fmt.Fprintf(out.stderr, "granted to %s; hash %s\n", k.Account, hash[:shownHashDigits])
	return nil
}

// keyWithdrawCmd withdraws a key.
type keyWithdrawCmd struct {
	entryFlags
	Hash string `arg:"" optional:"" help:"Hash of the key, or at least its first 8 digits."`
	Key  string `env:"BRAMLEYHATCH_KEY" help:"The key itself, if its hash is not known; prefer the environment variable."`
}

// Help gives an example.
func (keyWithdrawCmd) Help() string {
	return "Example:\n  bramleyhatch key withdraw 3f9a0c1122d4\n\n" +
		"The key stops working at every entry within seconds, even while the store\n" +
		"is unavailable; the withdrawal is stored afterwards."
}

// Run withdraws the key.
func (k *keyWithdrawCmd) Run(out *streams) error {
	hash := k.Hash
	if k.Key != "" {
		hash = lists.HashKey(k.Key)
	}
	if hash == "" {
		return &UsageError{Problem: "give the hash of the key, or the key"}
	}
	client, err := k.client()
	if err != nil {
		return err
	}
	reply, err := client.Withdraw(context.Background(), operatorpb.WithdrawRequest_builder{Hash: hash}.Build())
	if err != nil {
		return err
	}
	if reply.GetStored() {
		fmt.Fprintf(out.stdout, "withdrawn; stored at revision %d\n", reply.GetRevision())
		return nil
	}
	fmt.Fprintln(out.stdout, "withdrawn; the store is unavailable, the withdrawal is stored once it answers")
	return nil
}

// keyListCmd lists keys.
type keyListCmd struct {
	entryFlags
	outputFlag
	Account string `arg:"" optional:"" help:"Client account; all if not given."`
}

// Help gives an example.
func (keyListCmd) Help() string {
	return "Example:\n  bramleyhatch key list saryarka-branches"
}

// Run prints account, hash, time and state of each key.
func (k *keyListCmd) Run(out *streams) error {
	client, err := k.client()
	if err != nil {
		return err
	}
	reply, err := client.Config(context.Background())
	if err != nil {
		return err
	}
	var keys []*listpb.Key
	for _, key := range reply.GetConfig().GetKeys() {
		if k.Account == "" || key.GetAccount() == k.Account {
			keys = append(keys, key)
		}
	}
	if k.isJSON() {
		return printMessage(out.stdout, listpb.Config_builder{Keys: keys}.Build())
	}
	var rows []row
	for _, key := range keys {
		rows = append(rows, row{key.GetAccount(), key.GetHash()[:min(shownHashDigits, len(key.GetHash()))], formatTime(key.GetTime()), keyState(key)})
	}
	return printTable(out.stdout, row{"ACCOUNT", "HASH", "GRANTED", "STATE"}, rows)
}

func keyState(key *listpb.Key) string {
	if key.GetWithdrawn() {
		return "withdrawn"
	}
	return "granted"
}
