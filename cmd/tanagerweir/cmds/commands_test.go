package cmds_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/tanagerweir/tanagerweir/cmd/tanagerweir/cmds"
)

// plainSettings has no certificates; the platform's endpoint doesn't answer.
const plainSettings = `[Instance]
Name = entry-1
DataCentre = dakar-1
Region = dakar
[Listen]
Packets = 127.0.0.1:0
Passed = 127.0.0.1:0
Requests = 127.0.0.1:0
Admin = 127.0.0.1:0
Peer = 127.0.0.1:0
Metrics = 127.0.0.1:0
[Platform]
Endpoint = 127.0.0.1:1
[Addresses]
Pool = 192.0.2.0/24
[Security]
Mode = Plain
`

func writeSettingsFile(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestExitCodes runs each command with a context that has ended, so that an instance
// that starts stops at once.
func TestExitCodes(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	valid := writeSettingsFile(t, plainSettings)
	invalid := writeSettingsFile(t, strings.Replace(plainSettings, "Plain", "None", 1))
	unusable := writeSettingsFile(t, strings.Replace(plainSettings, "Admin = 127.0.0.1:0", "Admin = 192.0.2.1:1", 1))
	for name, c := range map[string]struct {
		args []string
		code int
		want string
	}{
		"no settings file":           {nil, 2, "--config"},
		"unknown command":            {[]string{"bogus"}, 2, "bogus"},
		"unknown flag":               {[]string{"--weight", "3"}, 2, "weight"},
		"missing settings file":      {[]string{"--config", "nowhere.ini"}, 2, "nowhere.ini"},
		"wrong settings":             {[]string{"--config", invalid}, 2, "[Security] Mode"},
		"check of wrong settings":    {[]string{"check", invalid}, 2, "[Security] Mode"},
		"check of two files":         {[]string{"check", valid, invalid}, 2, "one settings file"},
		"check of fine settings":     {[]string{"check", valid}, 0, "fine"},
		"endpoint that can't be had": {[]string{"--config", unusable}, 1, "[Listen] Admin"},
		"planned stop":               {[]string{"--config", valid}, 0, "leaving"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			code := cmds.Run(ended, append([]string{"tanagerweir"}, c.args...), &out, &out)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.want) {
				t.Errorf("the output lacks %q:\n%s", c.want, out.String())
			}
		})
	}
}
