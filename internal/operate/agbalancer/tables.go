package agbalancer

// Tasks that apply changes of the replica. Changes that arrive while a table is
// built are included in the next one.

import (
	"context"
	"time"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/routing/agtable"
)

const (
	// buildPauseFactor is the length of the pause after a build in multiples of the
	// build time. Unless maxBuildPause shortens the pause, it keeps the time spent
	// on building below the 4.8% of a core that the control plane may use.
	buildPauseFactor = 25
	// maxBuildPause limits the pause after a build, because a change must take
	// effect within 2 s in a small fleet.
	maxBuildPause = 500 * time.Millisecond
	// rebuildInterval is the time after which the table is rebuilt without a
	// change, to retry failed binds and to end the expired accept pauses of hosts.
	rebuildInterval = 5 * time.Second
)

// rebuildTables rebuilds the table after each change and every rebuildInterval.
func (b *Balancer) rebuildTables(ctx context.Context) error {
	configurations, endConfigurations := b.parts.Replica.Subscribe(anvilglade.RecordConfiguration)
	defer endConfigurations()
	hosts, endHosts := b.parts.Replica.Subscribe(anvilglade.RecordHost)
	defer endHosts()
	ticker := time.NewTicker(rebuildInterval)
	defer ticker.Stop()
	var source configurationSource
	for {
		start := time.Now()
		if err := b.rebuild(ctx, &source); err != nil {
			return err
		}
		sleep(ctx, min(time.Since(start)*buildPauseFactor, maxBuildPause))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-configurations:
		case <-hosts:
		case <-ticker.C:
		}
	}
}

// configurationSource is the newest configuration that could be decoded. Its version is
// that of the newest record, even if that could not be decoded.
type configurationSource struct {
	version       anvilglade.Version
	configuration *anvilglade.Configuration
	serviceOf     agtable.ServiceOf
}

func (b *Balancer) rebuild(ctx context.Context, source *configurationSource) error {
	if record, ok := b.parts.Replica.Get(anvilglade.RecordConfiguration, ConfigurationName); ok && record.Version > source.version {
		configuration, serviceOf, err := b.parts.Decode(record)
		if err != nil {
			b.log.WithError(err).WithField("Version", record.Version).Error("Cannot decode the configuration; the previous one stays in effect.")
		} else {
			source.configuration, source.serviceOf = configuration, serviceOf
		}
		source.version = record.Version
	}
	if source.configuration == nil {
		return nil
	}
	table, stats := b.builder.Build(source.configuration, source.serviceOf, b.heartbeats.Members())
	b.counters.tables.Add(1)
	b.counters.cut.Store(uint64(stats.Cut))
	last := b.router.Table()
	b.router.Adopt(table)
	if last == nil || last.Revision != table.Revision {
		b.parts.Events.Record(anvilglade.Event{Type: agevent.RevisionAdopted, Revision: table.Revision})
		b.log.WithField("Revision", table.Revision).WithField("Routes", len(table.Routes())).Info("Adopted a configuration.")
	}
	return b.ingresses.apply(ctx, table)
}

// followKeys passes new keys to the key ring.
func (b *Balancer) followKeys(ctx context.Context) error {
	changed, unsubscribe := b.parts.Replica.Subscribe(anvilglade.RecordKeys)
	defer unsubscribe()
	for {
		if record, ok := b.parts.Replica.Get(anvilglade.RecordKeys, ConfigurationName); ok {
			if err := b.parts.AdoptKeys(record); err != nil {
				b.log.WithError(err).WithField("Version", record.Version).Error("New keys cannot be applied.")
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
