package scenario_test

import (
	"encoding/json"
	"net/http"

	"github.com/rogpeppe/go-internal/testscript"
)

func encode(ts *testscript.TestScript, value any) []byte {
	text, err := json.Marshal(value)
	ts.Check(err)
	return text
}

// relayAddress asks a relay where it listens.
func relayAddress(ts *testscript.TestScript, base string) string {
	response, err := http.Get(base + "/control/address")
	ts.Check(err)
	defer response.Body.Close()
	var reply struct {
		Address string `json:"address"`
	}
	ts.Check(json.NewDecoder(response.Body).Decode(&reply))
	return reply.Address
}
