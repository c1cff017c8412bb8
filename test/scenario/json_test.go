package scenario_test

import (
	"encoding/json"
	"net/http"

	"github.com/rogpeppe/go-internal/testscript"
)

func encodeJSON(ts *testscript.TestScript, value any) []byte {
	text, err := json.Marshal(value)
	ts.Check(err)
	return text
}

// relayAddress returns the address on which a relay listens.
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
