package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/settingspb"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

const validEntry = `
[process]
name = e1
region = r
zone = a
peer = 127.0.0.1:0
[platform]
address = http://127.0.0.1:1
[caller]
listen = 127.0.0.1:0
`

func writeFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.ini")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestLoad(t *testing.T) {
	var entry settingspb.Entry
	must.NoError(t, settings.Load(writeFile(t, validEntry), &entry))
	must.Eq(t, "e1", entry.GetProcess().GetName())
	must.Eq(t, 3*time.Second, entry.GetCaller().GetSilence().AsDuration())
	must.Eq(t, int64(8<<20), entry.GetCaller().GetMaxBodyBytes())
}

func TestLoadFaults(t *testing.T) {
	tests := map[string]struct {
		text         string
		section, key string
	}{
		"unknown setting": {validEntry + "colour = red\n", "caller", "colour"},
		"unknown section": {validEntry + "[extra]\na = b\n", "extra", ""},
		"bad duration":    {validEntry + "timeout = soon\n", "caller", "timeout"},
		"below minimum":   {validEntry + "silence = 1ms\n", "caller", "silence"},
		"missing":         {"[process]\nregion = r\nzone = a\npeer = x\n[platform]\naddress = x\n[caller]\nlisten = x\n", "process", "name"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var entry settingspb.Entry
			err := settings.Load(writeFile(t, test.text), &entry)
			var fault *settings.Error
			must.True(t, errors.As(err, &fault))
			must.Eq(t, test.section, fault.Section)
			must.Eq(t, test.key, fault.Key)
		})
	}
}
