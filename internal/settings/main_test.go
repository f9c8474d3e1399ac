package settings

import (
	"encoding/json"
	"os"
	"os/exec"
	"testing"

	"github.com/juju/errors"
	"go.uber.org/zap"
)

// Guards against a process that ends without a line in its log that states why.
func TestFailureIsLogged(t *testing.T) {
	const variable = "BILBERRY_TEST_FAILING_MAIN"
	if os.Getenv(variable) != "" {
		os.Args = os.Args[:1]
		Main("failing", func(*Flags) error {
			log, err := zap.NewProduction(zap.IncreaseLevel(zap.ErrorLevel))
			if err != nil {
				return err
			}
			zap.ReplaceGlobals(log)
			return errors.New("disk is gone")
		})
		return
	}
	cmd := exec.Command(os.Args[0], "-test.run=^TestFailureIsLogged$")
	cmd.Env = append(os.Environ(), variable+"=1")
	output, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != failureStatus {
		t.Fatalf("the process ended with %v, want status %d: %s", err, failureStatus, output)
	}
	const plain = "failing: disk is gone\n"
	if len(output) < len(plain) || string(output[:len(plain)]) != plain {
		t.Fatalf("output is %q, want the error first", output)
	}
	var line struct {
		Message string `json:"msg"`
		Reason  string `json:"reason"`
		Status  int    `json:"exit_status"`
	}
	if err := json.Unmarshal(output[len(plain):], &line); err != nil {
		t.Fatalf("no line of JSON: %v: %s", err, output)
	}
	if line.Message != "process ends" || line.Reason != "disk is gone" || line.Status != failureStatus {
		t.Fatalf("logged %+v", line)
	}
}
