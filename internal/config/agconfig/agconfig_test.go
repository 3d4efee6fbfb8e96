package agconfig_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"path"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agconfig"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agconfig")
}

// fleet returns tables with the given numbers of services and hosts. Each pool
// lists its hosts by name.
func fleet(services, hosts int) anvilglade.Tables {
	var tables anvilglade.Tables
	for i := range 10 {
		tables.DataCentres = append(tables.DataCentres, anvilglade.DataCentre{
			Name: anvilglade.DataCentreID(fmt.Sprintf("dc%d", i)), Region: anvilglade.RegionID(fmt.Sprintf("r%d", i%3)), State: anvilglade.DataCentreIn,
		})
	}
	for i := range services {
		service := anvilglade.ServiceID(fmt.Sprintf("service-%03d", i))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 1)}), 7001)
		tables.Routes = append(tables.Routes, anvilglade.Route{Address: address, Protocol: anvilglade.ProtocolUDP, Service: service})
		pool := anvilglade.Pool{Service: service, Slots: 4, Connections: 2000}
		for host := i; host < hosts; host += services {
			pool.Hosts = append(pool.Hosts, hostName(host))
		}
		tables.Pools = append(tables.Pools, pool)
	}
	return agconfig.WithDefaults(tables)
}

func hostName(i int) string {
	return fmt.Sprintf("dc%d-h%04d", i%10, i)
}

var _ = Describe("Validate", func() {
	// Guards against a report that contains only the first fault or lacks its
	// table, row and field.
	It("lists all faults with table, row and field", func() {
		tables := fleet(2, 6)
		tables.Routes[1].Address = tables.Routes[0].Address
		tables.Routes[1].Protocol = anvilglade.ProtocolQUIC
		tables.Routes[1].Service = "missing"
		tables.Routes = append(tables.Routes, anvilglade.Route{Address: netip.MustParseAddrPort("0.0.0.0:7001"), Protocol: "TCP", Service: "service-000"})
		tables.Pools[0].Slots = 0
		tables.Pools[1].Hosts = append(tables.Pools[1].Hosts, "dc0-h*", "[")
		tables.DataCentres[0].State = "Gone"
		tables.Hosts = []anvilglade.HostOverride{{Name: "UPPER"}}
		text := agconfig.Validate(tables, agconfig.Options{}).Error()
		for _, wanted := range []string{
			`table Routes, row "10.0.0.1:7001/QUIC", field Service: no pool for service "missing"`,
			`table Routes, row "10.0.0.1:7001/QUIC", field Address: same address as row "10.0.0.1:7001/UDP"`,
			`table Routes, row "10.0.0.1:7001/UDP", field Address: overlaps with row "0.0.0.0:7001/TCP"`,
			`field Protocol: "TCP" is not UDP or QUIC`,
			`table Pools, row "service-000", field Slots: 0 is not within`,
			`pattern "dc0-h0000" and pattern "dc0-h*" of pool "service-001"`,
			`"[" is not a pattern`,
			`table DataCentres, row "dc0", field State: "Gone"`,
			`table Hosts, row "UPPER", field Name`,
		} {
			Expect(text).To(ContainSubstring(wanted))
		}
	})

	// Guards against an edit, such as taking a data centre out, that is rejected
	// because of an existing fault which only a newer rule reports.
	It("rejects an edit only for faults that it adds", func() {
		before := fleet(2, 4)
		before.Pools[0].Slots = agconfig.MaxSlots + 1
		after := fleet(2, 4)
		after.Pools[0].Slots = agconfig.MaxSlots + 1
		after.DataCentres[0].State = anvilglade.DataCentreOut
		Expect(agconfig.ValidateEdit(after, agconfig.Options{Before: before})).To(BeEmpty())
		after.Pools[0].Slots++
		Expect(agconfig.ValidateEdit(after, agconfig.Options{Before: before})).To(HaveLen(1))
	})

	// Guards against the JSON of one row that contains further rows.
	It("reads exactly one row without unknown fields", func() {
		key, row, err := agconfig.Row(agconfig.TableDataCentres, []byte(`{"Region":"dk","Name":"dk1"}`))
		Expect(err).NotTo(HaveOccurred())
		Expect(key).To(Equal("dk1"))
		Expect(string(row)).To(Equal(`{"Name":"dk1","Region":"dk","State":"In"}`))
		for _, raw := range []string{``, `{`, `[]`, `{"Name":"a"},{"Name":"b"}`, `{"Name":"a"}],"Hosts":[{"Name":"b"}`, `],"DataCentres":[{"Name":"b"}`, `{"Naam":"a"}`} {
			_, _, err := agconfig.Row(agconfig.TableDataCentres, []byte(raw))
			Expect(err).To(HaveOccurred(), raw)
		}
	})

	// Guards against an edit that removes the last host of a service or of the
	// fleet by mistake.
	It("rejects an edit that leaves a service or the fleet without hosts unless forced", func() {
		before := fleet(2, 4)
		out := fleet(2, 4)
		for i := range out.DataCentres {
			out.DataCentres[i].State = anvilglade.DataCentreOut
		}
		Expect(agconfig.Validate(out, agconfig.Options{Before: before}).Error()).To(ContainSubstring("no data centre stays In"))
		Expect(agconfig.Validate(out, agconfig.Options{Before: before, Force: true})).To(BeEmpty())

		drained := fleet(2, 4)
		for _, name := range drained.Pools[0].Hosts {
			drained.Hosts = append(drained.Hosts, anvilglade.HostOverride{Name: anvilglade.HostID(name), Draining: true})
		}
		Expect(agconfig.Validate(drained, agconfig.Options{Before: before}).Error()).To(ContainSubstring("without any host"))

		moved := fleet(2, 4)
		moved.Pools[0].Hosts = []string{"new-*"}
		known := []anvilglade.HostRecord{{Host: "dc0-h0000", State: anvilglade.HostActive, DataCentre: "dc0"}}
		Expect(agconfig.Validate(moved, agconfig.Options{Before: before, Known: known}).Error()).To(ContainSubstring("any of its 1 living hosts"))
		Expect(agconfig.Validate(moved, agconfig.Options{Before: before, Known: []anvilglade.HostRecord{}})).To(BeEmpty())
	})
})

var _ = Describe("Matcher", func() {
	// Guards against a host that serves two services.
	It("assigns a host that matches two pools to neither", func() {
		matcher := agconfig.NewMatcher(anvilglade.Tables{Pools: []anvilglade.Pool{
			{Service: "alerts", Hosts: []string{"dk?-a*", "spare"}}, {Service: "archive", Hosts: []string{"dk1-*", "spare", "dk2-b*"}},
		}})
		service, ok := matcher.Service("dk2-a1")
		Expect(ok).To(BeTrue())
		Expect(service).To(Equal(anvilglade.ServiceID("alerts")))
		for _, name := range []anvilglade.HostID{"dk1-a1", "spare", "dk3-b1", ""} {
			_, ok := matcher.Service(name)
			Expect(ok).To(BeFalse(), string(name))
		}
	})
})

var _ = Describe("codec", func() {
	// Guards against an object that exceeds its size limit because edits of whole
	// tables make the history too large.
	It("drops the oldest edits if the document exceeds its size limit", func() {
		document := agconfig.Document{Tables: fleet(510, 4200)}
		changes, err := agconfig.Diff(anvilglade.Tables{}, document.Tables)
		Expect(err).NotTo(HaveOccurred())
		for i := range 100 {
			document.History = append(document.History, agconfig.Edit{ID: anvilglade.EditID(fmt.Sprint(i)), Base: anvilglade.Revision(i), Changes: changes})
		}
		data, err := agconfig.Encode(document)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<=", agconfig.MaxEncoded))
		decoded, err := agconfig.Decode(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Tables).To(Equal(document.Tables))
		Expect(decoded.History[len(decoded.History)-1].ID).To(Equal(anvilglade.EditID("99")))
		Expect(decoded.Covers(0)).To(BeFalse())
	})
})

// FuzzPatternsOverlap guards against two patterns that match a common name but are
// reported as disjoint, so that one host would match two pools.
func FuzzPatternsOverlap(f *testing.F) {
	f.Add("dk1-*", "*-h01", "dk1-h01")
	f.Add("a[b-d]*", "?c*", "acx")
	f.Add("a**", "*a", "aa")
	f.Fuzz(func(t *testing.T, left, right, name string) {
		if anvilglade.CheckName(name) != nil || left == right || len(left) > 200 || len(right) > 200 {
			return
		}
		leftMatches, err := path.Match(left, name)
		if err != nil || !leftMatches {
			return
		}
		rightMatches, err := path.Match(right, name)
		if err != nil || !rightMatches {
			return
		}
		tables := fleet(2, 0)
		tables.Pools[0].Hosts, tables.Pools[1].Hosts = []string{left}, []string{right}
		if faults := agconfig.Validate(tables, agconfig.Options{}); !strings.Contains(faults.Error(), "match the same names") {
			t.Fatalf("%q and %q both match %q, faults: %v", left, right, name, faults)
		}
	})
}

// FuzzDecode guards against an object that makes a balancer or an editor panic.
func FuzzDecode(f *testing.F) {
	data, err := agconfig.Encode(agconfig.Document{Tables: fleet(2, 4), History: []agconfig.Edit{{ID: "a"}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := agconfig.Decode(data)
		if err != nil {
			return
		}
		_ = agconfig.Validate(document.Tables, agconfig.Options{})
		reencoded, err := agconfig.Encode(document)
		if err != nil {
			return
		}
		if _, err := agconfig.Decode(reencoded); err != nil {
			t.Fatalf("encoded document cannot be decoded: %v", err)
		}
	})
}

// BenchmarkDesignSize measures the package at the design size of 510 addresses and
// 4,200 hosts.
func BenchmarkDesignSize(b *testing.B) {
	tables := fleet(510, 4200)
	document := agconfig.Document{Tables: tables}
	row := tables.Pools[7]
	row.Slots++
	changed := fleet(510, 4200)
	changed.Pools[7] = row
	changes, err := agconfig.Diff(tables, changed)
	if err != nil {
		b.Fatal(err)
	}
	for range agconfig.HistoryLength {
		document.History = append(document.History, agconfig.Edit{ID: "0123456789ABCDEFGHIJKLMNOP", Author: "operator", Changes: changes})
	}
	data, err := agconfig.Encode(document)
	if err != nil {
		b.Fatal(err)
	}
	plain, err := json.Marshal(document)
	if err != nil {
		b.Fatal(err)
	}
	matcher := agconfig.NewMatcher(tables)
	for name, work := range map[string]func() error{
		"Encode":  func() error { _, err := agconfig.Encode(document); return err },
		"Decode":  func() error { _, err := agconfig.Decode(data); return err },
		"Load":    func() error { _, err := agconfig.Load(1, data); return err },
		"Apply":   func() error { _, _, _, err := agconfig.Apply(tables, changes); return err },
		"Matcher": func() error { agconfig.NewMatcher(tables); return nil },
		"Validate": func() error {
			if faults := agconfig.Validate(tables, agconfig.Options{Before: tables}); len(faults) > 0 {
				return faults
			}
			return nil
		},
		"MatchAllHosts": func() error {
			for host := range 4200 {
				if _, ok := matcher.Service(anvilglade.HostID(hostName(host))); !ok {
					return fmt.Errorf("host %d has no pool", host)
				}
			}
			return nil
		},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if err := work(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "object-bytes")
			b.ReportMetric(float64(len(plain)), "json-bytes")
		})
	}
}
