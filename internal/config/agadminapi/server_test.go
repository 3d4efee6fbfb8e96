package agadminapi_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/anvilglade/anvilglade"
	"github.com/anvilglade/anvilglade/internal/config/agadminapi"
	"github.com/anvilglade/anvilglade/internal/observe/agevent"
	"github.com/anvilglade/anvilglade/internal/stand/agapi"
	agplatform "github.com/anvilglade/anvilglade/platform"
)

func TestAdminAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "agadminapi")
}

const (
	alertsPool  = `{"Service":"alerts","Hosts":["dk?-a*"],"Slots":4,"Connections":2000}`
	archivePool = `{"Service":"archive","Hosts":["dk?-g*"],"Slots":4,"Connections":2000}`
	alertsRoute = `{"Address":"127.100.0.1:7001","Protocol":"UDP","Service":"alerts"}`
)

var _ = Describe("Server", func() {
	var (
		platform *agapi.Server
		api      *agadminapi.Server
		events   *agevent.Ring
		tokens   map[string]string
	)

	// call sends a request; headers are "Name: value" lines.
	call := func(team, method, path, body string, headers ...string) *httptest.ResponseRecorder {
		request := httptest.NewRequest(method, path, strings.NewReader(body))
		if team != "" {
			request.Header.Set("Authorization", "Bearer "+tokens[team])
		}
		for _, header := range headers {
			name, value, _ := strings.Cut(header, ": ")
			request.Header.Set(name, value)
		}
		recorder := httptest.NewRecorder()
		api.ServeHTTP(recorder, request)
		return recorder
	}
	expect := func(recorder *httptest.ResponseRecorder, code int, parts ...string) {
		GinkgoHelper()
		Expect(recorder.Code).To(Equal(code), recorder.Body.String())
		for _, part := range parts {
			Expect(recorder.Body.String()).To(ContainSubstring(part))
		}
		if code >= 400 {
			Expect(recorder.Header().Get("Content-Type")).To(Equal("application/problem+json"))
		}
	}
	ifAbsent := "If-None-Match: *"

	BeforeEach(func() {
		platform = agapi.NewServer(agapi.Options{})
		server := httptest.NewServer(platform)
		DeferCleanup(server.Close)
		store, stop, err := agplatform.NewStore(agplatform.StoreOptions{URL: server.URL, ReadsPerSecond: 1000, WritesPerSecond: 1000})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		tokens = map[string]string{}
		Expect(agadminapi.UpdateTeams(context.Background(), store, func(teams *agadminapi.Teams) error {
			for _, team := range []agadminapi.Team{
				{Name: "ops", Role: agadminapi.RoleOperator, RequestsPerMinute: 60000},
				{Name: "alerts", Role: agadminapi.RoleEditor, Pools: []string{"alerts"}, Routes: []string{"127.100.0.*:7001"}, RequestsPerMinute: 60000},
				{Name: "archive", Role: agadminapi.RoleEditor, Pools: []string{"archive"}, Routes: []string{"127.100.0.*:*"}, RequestsPerMinute: 60000},
				{Name: "viewer", Role: agadminapi.RoleViewer, RequestsPerMinute: 60000},
				{Name: "slow", Role: agadminapi.RoleViewer, RequestsPerMinute: 6},
			} {
				token, hash := agadminapi.NewToken()
				tokens[team.Name] = token
				team.TokenHashes = []string{hash}
				teams.Teams = append(teams.Teams, team)
			}
			return nil
		})).To(Succeed())
		events = agevent.NewRing("balancer/b1", 64, anvilglade.SystemClock{})
		api = agadminapi.NewServer(agadminapi.Options{Store: store, Events: events})
		expect(call("alerts", "PUT", "/v1/tables/Pools/rows/alerts", alertsPool, ifAbsent), 200, `"Accepted"`)
		expect(call("alerts", "PUT", "/v1/tables/Routes/rows/127.100.0.1:7001/UDP", alertsRoute, ifAbsent), 200, `"Accepted"`)
	})

	// Guards against a team that changes rows of another team.
	It("restricts teams to their own pools and routes", func() {
		expect(call("", "GET", "/v1/tables/Pools", ""), 401, "urn:anvilglade:problem:unauthenticated")
		expect(call("viewer", "GET", "/v1/tables/Pools", ""), 200, `"alerts"`)
		expect(call("viewer", "PUT", "/v1/tables/Pools/rows/archive", archivePool, ifAbsent), 403)
		expect(call("archive", "PUT", "/v1/tables/Pools/rows/alerts", alertsPool, "If-Match: *"), 403)
		expect(call("archive", "DELETE", "/v1/tables/Routes/rows/127.100.0.1:7001/UDP", "", "If-Match: *"), 403)
		// Both teams may use the address, but the existing row belongs to the other
		// team.
		stolen := strings.Replace(alertsRoute, `"alerts"`, `"archive"`, 1)
		expect(call("archive", "PUT", "/v1/tables/Routes/rows/127.100.0.1:7001/UDP", stolen, "If-Match: *"), 403)
		expect(call("alerts", "PUT", "/v1/tables/DataCentres/rows/dk1", `{"Name":"dk1","Region":"dk"}`, ifAbsent), 403)
		expect(call("ops", "PUT", "/v1/tables/DataCentres/rows/dk1", `{"Name":"dk1","Region":"dk"}`, ifAbsent), 200)
		expect(call("archive", "PUT", "/v1/tables/Pools/rows/archive", archivePool, ifAbsent), 200)
		// A rollback is subject to the same rights as other changes: a team may
		// revert edits of its own rows only.
		expect(call("alerts", "POST", "/v1/rollbacks", `{"Revision":2}`), 403)
		expect(call("alerts", "POST", "/v1/rollbacks", `{"Revision":4}`), 403)
		expect(call("viewer", "POST", "/v1/rollbacks", `{"Revision":4}`), 403)
		expect(call("archive", "POST", "/v1/rollbacks", `{"Revision":4}`), 200)
		var refused int
		for _, event := range events.Events(0) {
			if event.Type == agadminapi.APIAccessRefused {
				refused++
			}
			Expect(event.Detail).NotTo(ContainSubstring(tokens["alerts"]))
		}
		Expect(refused).To(BeNumerically(">=", 9))
	})

	// Guards against a client that overwrites an edit that it has not read.
	It("requires and checks the condition of a change", func() {
		read := call("alerts", "GET", "/v1/tables/Pools/rows/alerts", "")
		expect(read, 200)
		tag := read.Header().Get("ETag")
		Expect(call("alerts", "GET", "/v1/tables/Pools", "", "If-None-Match: "+tag).Code).To(Equal(304))
		changed := strings.Replace(alertsPool, `"Slots":4`, `"Slots":5`, 1)
		expect(call("alerts", "PUT", "/v1/tables/Pools/rows/alerts", changed), 428)
		expect(call("alerts", "PUT", "/v1/tables/Pools/rows/alerts", changed, ifAbsent), 412)
		expect(call("alerts", "PUT", "/v1/tables/Pools/rows/alerts", changed, "If-Match: "+tag), 200)
		again := strings.Replace(alertsPool, `"Slots":4`, `"Slots":6`, 1)
		expect(call("ops", "PUT", "/v1/tables/Pools/rows/alerts", again, "If-Match: "+tag), 412, "conflict", `"Author":"alerts"`)
		expect(call("ops", "PUT", "/v1/tables/Pools/rows/archive", archivePool, "If-Match: "+tag, ifAbsent), 200)
		expect(call("alerts", "DELETE", "/v1/tables/Pools/rows/alerts", "", "If-Match: *"), 422, "no pool for service")
		expect(call("alerts", "PUT", "/v1/tables/Pools/rows/alerts", `{"Service":"alerts","Slotts":1}`, "If-Match: *"), 400, "unknown field")
		expect(call("alerts", "PUT", "/v1/tables/Pools/rows/other", alertsPool, "If-Match: *"), 400)
		expect(call("alerts", "GET", "/v1/tables/Secrets", ""), 404)
	})

	// Guards against an edit that is applied twice because a client repeats it, and
	// against an id that is used for two different edits.
	It("recognises a repeated edit by its id", func() {
		id := "Edit-Id: 0123456789abcdef"
		first := call("ops", "PUT", "/v1/tables/Pools/rows/archive", archivePool, ifAbsent, id)
		expect(first, 200)
		second := call("ops", "PUT", "/v1/tables/Pools/rows/archive", archivePool, ifAbsent, id)
		expect(second, 200)
		Expect(second.Header().Get("ETag")).To(Equal(first.Header().Get("ETag")))
		expect(call("alerts", "PUT", "/v1/tables/Pools/rows/alerts", alertsPool, "If-Match: *", id), 503, "belongs to another edit")
		expect(call("ops", "POST", "/v1/rollbacks", `{"EditID":"0123456789abcdef"}`), 200)
		expect(call("ops", "GET", "/v1/tables/Pools/rows/archive", ""), 404)
	})

	// Guards against a wrong verdict during an outage of the platform, and against
	// teams that cannot authenticate during it.
	It("reports an unknown outcome and resolves it", func() {
		setFaults := func(faults agapi.Faults) {
			Expect(platform.Play(agapi.Script{Seed: 1, Steps: []agapi.Step{{Faults: faults}}})).To(Succeed())
		}
		setFaults(agapi.Faults{Outage: true})
		expect(call("ops", "PUT", "/v1/tables/Pools/rows/archive", archivePool, ifAbsent), 503)
		setFaults(agapi.Faults{WriteOutage: true})
		request := httptest.NewRequest("PUT", "/v1/tables/Pools/rows/archive", strings.NewReader(archivePool))
		request.Header.Set("Authorization", "Bearer "+tokens["ops"])
		request.Header.Set("If-None-Match", "*")
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		recorder := httptest.NewRecorder()
		api.ServeHTTP(recorder, request.WithContext(ctx))
		expect(recorder, 504, "unknown-outcome")
		var problem struct {
			Verdict struct {
				EditID string
				Base   uint64
			} `json:"verdict"`
		}
		Expect(json.Unmarshal(recorder.Body.Bytes(), &problem)).To(Succeed())
		setFaults(agapi.Faults{})
		base, err := json.Marshal(map[string]uint64{"Base": problem.Verdict.Base})
		Expect(err).NotTo(HaveOccurred())
		expect(call("ops", "POST", "/v1/edits/"+problem.Verdict.EditID+"/resolution", string(base)), 200, `"Rejected"`)
	})

	// Guards against a team that uses up the platform's request rate at the expense
	// of the other teams.
	It("limits the rate of each team", func() {
		Expect(call("slow", "GET", "/v1/history", "").Code).To(Equal(200))
		expect(call("slow", "GET", "/v1/history", ""), 429)
		Expect(call("ops", "GET", "/v1/history", "").Code).To(Equal(200))
	})

	// Guards against an API description that differs from the API.
	It("describes every operation", func() {
		recorder := call("", "GET", "/v1/openapi.json", "")
		body, err := io.ReadAll(recorder.Body)
		Expect(err).NotTo(HaveOccurred())
		var description struct {
			Paths map[string]map[string]any `json:"paths"`
		}
		Expect(json.Unmarshal(body, &description)).To(Succeed())
		var described []string
		for path, methods := range description.Paths {
			for method := range methods {
				described = append(described, strings.ToUpper(method)+" "+path)
			}
		}
		Expect(described).To(ConsistOf(agadminapi.Patterns()))
		Expect(recorder.Code).To(Equal(http.StatusOK))
	})
})

// FuzzDecodeTeams guards against an object that makes every balancer with the API
// panic, and against unknown roles, which could give a team additional rights.
func FuzzDecodeTeams(f *testing.F) {
	f.Add([]byte(`{"Teams":[{"Name":"a","Role":"Editor","Pools":["a*"],"TokenHashes":[]}]}`))
	f.Add([]byte(`{"Teams":[{"Name":"a","Role":"King"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		teams, err := agadminapi.DecodeTeams(data)
		if err != nil {
			return
		}
		for _, team := range teams.Teams {
			switch team.Role {
			case agadminapi.RoleViewer, agadminapi.RoleEditor, agadminapi.RoleOperator:
			default:
				t.Fatalf("role %q was accepted", team.Role)
			}
		}
	})
}
