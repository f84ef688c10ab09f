package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/wheatweir/wheatweir/internal/loopback"
)

// TestFirstStartIsToldByAFlag guards against a daemon that does not know, or falsely believes, that no daemon has run before it,
// where the platform fills the words of the command and not the settings file.
func TestFirstStartIsToldByAFlag(t *testing.T) {
	t.Parallel()
	binary := buildBinary(t)
	content := "[daemon]\nname = d1\nzone = z\ndeployment_key = " + deploymentKey + "\n[listen]\n"
	for _, name := range []string{"front", "ready", "directory", "peers"} {
		address, err := loopback.Address()
		if err != nil {
			t.Fatal(err)
		}
		content += name + " = " + address + "\n"
	}
	content += "[store]\naddress = 127.0.0.1:1\nwatch_wait = 2s\n[requests]\naddress_keep = 1s\ngrace = 3s\nretry_share = 1\nretry_slack = 1000\n[orders]\nchecks_fence = true\nlease_term = 3s\n"
	for number, c := range []struct {
		flag, setting string
		want          bool
	}{{"--first-start=true", "", true}, {"--first-start=false", "", false}, {"--first-start=", "", false}, {"--first-start=", "first_start = true\n", true}} {
		path := filepath.Join(t.TempDir(), fmt.Sprint(number, ".ini"))
		if err := os.WriteFile(path, []byte(strings.Replace(content, "[daemon]\n", "[daemon]\n"+c.setting, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		command := exec.Command(binary, "--entry", c.flag, "--settings", path)
		command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		output, err := command.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := command.Start(); err != nil {
			t.Fatal(err)
		}
		line, _ := bufio.NewReader(output).ReadString('\n')
		_ = command.Process.Kill()
		_ = command.Wait()
		if want := fmt.Sprint("first_start=", c.want); !strings.Contains(line, want) {
			t.Errorf("%s, settings %q: %q, want %s", c.flag, c.setting, line, want)
		}
	}
}
