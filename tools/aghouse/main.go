// Command aghouse checks project rules that the linters do not cover: Go source
// must contain no bare go statement, must declare no generic function or type,
// and must not use names of the users' platform outside the platform adapter.
//
// Usage: aghouse DIR. It prints the file and line of each finding. The exit
// status is 1 if there are findings and 2 on a usage or read error.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: aghouse DIR")
		os.Exit(2)
	}
	findings := 0
	report := func(pos token.Position, text string) {
		findings++
		fmt.Printf("%s: %s\n", pos, text)
	}
	if err := filepath.WalkDir(os.Args[1], func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != os.Args[1] {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		return checkFile(path, report)
	}); err != nil {
		fmt.Fprintln(os.Stderr, "aghouse:", err)
		os.Exit(2)
	}
	if findings > 0 {
		os.Exit(1)
	}
}

func checkFile(path string, report func(token.Position, string)) error {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("parse %s: %w", path, err)
	}
	slashed := filepath.ToSlash(path)
	// aghouse itself is exempt because platformNames contains the forbidden names.
	adapter := strings.Contains(slashed, "/platform/") || strings.Contains(slashed, "/aghouse/")
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.BasicLit:
			if name, found := platformName(n); found && !adapter {
				report(files.Position(n.Pos()), fmt.Sprintf("name %q of the platform outside platform/", name))
			}
		case *ast.GoStmt:
			report(files.Position(n.Pos()), "bare go statement; start the task through agtask.Group")
		case *ast.FuncType:
			if n.TypeParams != nil {
				report(files.Position(n.Pos()), "generic function")
			}
		case *ast.TypeSpec:
			if n.TypeParams != nil {
				report(files.Position(n.Pos()), "generic type")
			}
		}
		return true
	})
	return nil
}

// platformNames lists names from the platform's wire protocol and settings that
// have no other use in this project.
var platformNames = []string{
	"X-Anvilglade", "heartbeat_url", "datagram_addr", "cold_left_ms", "cold_per_s", "path_prefix", "idle_timeout_ms",
	"current_rev", "deletion_pending", "allow_stale", "wait_ms", "internal_ports", "node_name", "/readiness", "/instances/", "evacuations/",
}

// platformName returns the first entry of platformNames that a string literal
// contains, and false if there is none.
func platformName(literal *ast.BasicLit) (string, bool) {
	if literal.Kind != token.STRING {
		return "", false
	}
	for _, name := range platformNames {
		if strings.Contains(literal.Value, name) {
			return name, true
		}
	}
	return "", false
}
