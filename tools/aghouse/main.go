// Command aghouse checks rules that the linters do not know: no bare go
// statement and no generic function or type of the project's own.
//
// Usage: aghouse DIR. It prints file and line of each finding and exits with 1
// if there is one.
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
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
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
