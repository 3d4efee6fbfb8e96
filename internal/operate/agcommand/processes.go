package agcommand

// Settings that the balancer and the agent share.

import (
	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/aglog"
	"github.com/anvilglade/anvilglade/internal/operate/agsettings"
	"github.com/anvilglade/anvilglade/internal/state/agkeys"
)

// addLogSettings declares the settings of the loggers.
func addLogSettings(set *agsettings.Set, options *aglog.Options) {
	set.Text(&options.Level, "log-level", "lowest level that is logged: debug, info, warning, error", "info")
	set.Bool(&options.JSON, "log-json", "log JSON lines", false)
}

// addJoinSecret declares the secret from which processes derive the credentials
// of their mutual authentication.
func addJoinSecret(set *agsettings.Set, secrets *[]anvilglade.Secret) {
	set.Secret("join-secret", "secret of the fleet, two during a change", "one or two values of 64 hexadecimal digits, separated by a comma", func(text string) error {
		parsed, err := agkeys.ParseJoinSecrets(text)
		if err != nil {
			return err
		}
		*secrets = parsed
		return nil
	})
}
