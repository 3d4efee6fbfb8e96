package integration

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/gomega"
)

// maxLinesPerSecond is the maximum number of log lines of a process in one second.
const maxLinesPerSecond = 200

// logLine holds the log fields that on-call engineers search by.
type logLine struct {
	Message  string    `json:"msg"`
	Level    string    `json:"level"`
	Time     time.Time `json:"time"`
	Node     string
	Decision string
	Flow     string
}

// checkLogs reads all log files in dir. It fails the test for a line that is not
// JSON or lacks a message, level, node or time, for a decision without a flow, and
// for a process that writes more than maxLinesPerSecond.
func checkLogs(dir string) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	Expect(err).NotTo(HaveOccurred())
	Expect(paths).NotTo(BeEmpty())
	for _, path := range paths {
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		perSecond := make(map[int64]int)
		for raw := range bytes.Lines(data) {
			var line logLine
			Expect(json.Unmarshal(raw, &line)).To(Succeed(), "%s: %s", path, raw)
			if bytes.Contains(raw, []byte(`"Dropped"`)) {
				// The count of dropped lines bypasses the logger and lacks these fields.
				continue
			}
			Expect(line.Message).NotTo(BeEmpty(), "%s: %s", path, raw)
			Expect(line.Level).NotTo(BeEmpty(), "%s: %s", path, raw)
			Expect(line.Node).NotTo(BeEmpty(), "%s: %s", path, raw)
			Expect(line.Time).NotTo(BeZero(), "%s: %s", path, raw)
			if line.Decision != "" {
				Expect(line.Flow).NotTo(BeEmpty(), "%s: %s", path, raw)
			}
			perSecond[line.Time.Unix()]++
		}
		for second, lines := range perSecond {
			Expect(lines).To(BeNumerically("<=", maxLinesPerSecond), "%s at %s", path, time.Unix(second, 0))
		}
	}
}
