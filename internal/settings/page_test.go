package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// pageFile is the operators' page of settings.
const pageFile = "../../docs/settings.md"

// pageRow returns the option's row in the page's table.
func pageRow(o Option) string {
	defaultText := "none"
	if o.Default != "" {
		defaultText = "`" + o.Default + "`"
	}
	if o.Required {
		defaultText = "required"
	}
	return fmt.Sprintf("| `--%s` | `%s` | %s | %s | %s |", o.Flag, o.Env(), o.Unit, defaultText, o.Usage)
}

func TestPageListsTheSettingsAsTheyAre(t *testing.T) {
	page, err := os.ReadFile(pageFile)
	if err != nil {
		t.Fatal(err)
	}
	var rows []string
	for _, o := range Options() {
		rows = append(rows, pageRow(o))
	}
	want := strings.Join(rows, "\n") + "\n"
	if !strings.Contains(string(page), "|---|---|---|---|---|\n"+want+"\n") {
		t.Errorf("the table in %s is not:\n%s", pageFile, want)
	}
}
