package lists

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
)

const fileMode = 0o600

// FormatAccounts formats the accounts as accounts.ini.
func FormatAccounts(config *listpb.Config) string {
	var text strings.Builder
	for _, account := range config.GetAccounts() {
		formatItem(&text, "account "+account.GetName(), account)
	}
	return text.String()
}

// FormatPlans formats the plans and pools as plans.ini.
func FormatPlans(config *listpb.Config) string {
	var text strings.Builder
	for _, plan := range config.GetPlans() {
		formatItem(&text, "plan "+plan.GetName(), plan)
	}
	for _, pool := range config.GetPools() {
		formatItem(&text, "pool "+pool.GetName(), pool)
	}
	return text.String()
}

// WriteFiles writes accounts.ini and plans.ini into a folder.
func WriteFiles(folder string, config *listpb.Config) error {
	err := os.WriteFile(filepath.Join(folder, AccountsFile), []byte(FormatAccounts(config)), fileMode)
	if err != nil {
		return eris.Wrap(err, "write accounts")
	}
	err = os.WriteFile(filepath.Join(folder, PlansFile), []byte(FormatPlans(config)), fileMode)
	return eris.Wrap(err, "write plans")
}

func formatItem(text *strings.Builder, section string, item proto.Message) {
	fmt.Fprintf(text, "[%s]\n", section)
	fields := item.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		value := valueText(item, field)
		if field.Name() == "name" || value == "" {
			continue
		}
		fmt.Fprintf(text, "%s = %s\n", field.Name(), value)
	}
	text.WriteString("\n")
}
