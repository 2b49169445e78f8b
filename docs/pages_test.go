// Package docs checks that the pages keep up with the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// pages lists the pages, from this directory.
func pages(t *testing.T) []string {
	t.Helper()
	var out []string
	for _, pattern := range []string{"../*.md", "*.md", "design/*.md"} {
		found, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, found...)
	}
	return out
}

func read(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

var link = regexp.MustCompile(`\]\(([^)#:]+)(#[^)]*)?\)`)

func TestLinksBetweenPagesLead(t *testing.T) {
	checked := 0
	for _, page := range pages(t) {
		for _, match := range link.FindAllStringSubmatch(read(t, page), -1) {
			checked++
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s links to %s: %v", page, match[1], err)
			}
		}
	}
	if checked == 0 {
		t.Error("no link was found")
	}
}

func TestArchitectureNamesEveryPackage(t *testing.T) {
	page := read(t, "architecture.md")
	dirs, err := os.ReadDir("../internal")
	if err != nil {
		t.Fatal(err)
	}
	for _, dir := range dirs {
		if dir.IsDir() && !strings.Contains(page, "`"+dir.Name()+"`") {
			t.Errorf("architecture.md does not name package %s", dir.Name())
		}
	}
}

func TestOperatorsPageExplainsEveryReason(t *testing.T) {
	page := read(t, "operators.md")
	codes := append(reasonCodes(t, "../internal/cell/outcome.go"), reasonCodes(t, "../internal/config/submit.go")...)
	if len(codes) < 20 {
		t.Fatalf("only %d codes were found", len(codes))
	}
	for _, code := range codes {
		if code != "" && code != "placed" && code != "invalid" && !strings.Contains(page, "`"+code+"`") {
			t.Errorf("operators.md does not explain %s", code)
		}
	}
}

// reasonCodes lists the values of the constants of type ReasonCode in a source file.
func reasonCodes(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !isReasonCode(spec.Type) {
			return true
		}
		for _, value := range spec.Values {
			text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, text)
		}
		return true
	})
	return out
}

func isReasonCode(expr ast.Expr) bool {
	switch e := expr.(type) {
	case *ast.Ident:
		return e.Name == "ReasonCode"
	case *ast.SelectorExpr:
		return e.Sel.Name == "ReasonCode"
	default:
		return false
	}
}
