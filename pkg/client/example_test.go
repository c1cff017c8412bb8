package client_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/bramleyhatch/bramleyhatch/pkg/client"
)

func startServer(status int, body string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
}

func ExampleClient_Chat() {
	server := startServer(http.StatusOK, `{"choices":[{"message":{"role":"assistant","content":"Dear member"}}]}`)
	defer server.Close()
	caller := client.Client{Address: server.URL, Key: "a-key"}
	text, err := caller.Chat(context.Background(), "assistant", []client.Message{{Role: "user", Content: "Draft a note"}}, 20)
	fmt.Println(text, err)
	// Output: Dear member <nil>
}

func ExampleClient_Post() {
	server := startServer(http.StatusServiceUnavailable, `{"error":{"code":"draining","message":"the server drains","outcome":"not-run"}}`)
	defer server.Close()
	caller := client.Client{Address: server.URL, Key: "a-key"}
	err := caller.Post(context.Background(), "ledger", "/postings", "posting-17", map[string]any{"member": "ana", "hours": 2}, nil)
	var refused *client.RefusedError
	if errors.As(err, &refused) {
		fmt.Println(refused.Outcome, refused.Retry)
	}
	// Output: not-run 2s
}

func ExampleTrainer_Pull() {
	server := startServer(http.StatusOK, `{"samples":[{"place":1,"slot":3,"versions":[{"from":0,"until":8,"version":4}]}],"next":2,"done":true}`)
	defer server.Close()
	trainer := client.Trainer{Client: client.Client{Address: server.URL, Key: "a-key"}, Name: "drafter"}
	result, err := trainer.Pull(context.Background(), 1, 16, time.Second)
	fmt.Println(len(result.Samples), result.Samples[0].Versions[0].Version, result.Next, result.Done, err)
	// Output: 1 4 2 true <nil>
}
