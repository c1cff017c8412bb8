package lists

import (
	"errors"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"
	"gopkg.in/ini.v1"

	"github.com/bramleyhatch/bramleyhatch/internal/pb/listpb"
	"github.com/bramleyhatch/bramleyhatch/internal/settings"
)

// Names of the files that hold the two lists.
const (
	AccountsFile = "accounts.ini"
	PlansFile    = "plans.ini"
)

const (
	kindEngine = "engine"
	kindPlain  = "plain"
)

// File reads the lists from INI files and checks them together.
type File struct {
	config *listpb.Config
	faults []error
	// files maps the name of a section to its file, for reporting faults found after reading.
	files map[string]string
}

// ReadFiles reads accounts.ini and plans.ini. The error joins a *settings.Error for
// each fault.
func ReadFiles(accounts, plans string) (*listpb.Config, error) {
	file := &File{config: &listpb.Config{}, files: map[string]string{}}
	file.read(accounts, "account")
	file.read(plans, "plan", "pool")
	file.faults = append(file.faults, file.checkReferences()...)
	return file.config, errors.Join(file.faults...)
}

// Check returns the faults of lists that were not read from files.
func Check(config *listpb.Config) error {
	file := &File{config: config, files: map[string]string{}}
	faults := append(file.checkNames(), file.checkReferences()...)
	return errors.Join(faults...)
}

func (f *File) addFault(file, section, key, problem string) {
	f.faults = append(f.faults, &settings.Error{File: file, Section: section, Key: key, Problem: problem})
}

// checkNames returns a fault for each item without a name or with a duplicate name.
func (f *File) checkNames() []error {
	var faults []error
	seen := map[string]bool{}
	for _, section := range f.sectionNames() {
		if strings.HasSuffix(section, " ") {
			faults = append(faults, f.newFault(section, "", "has no name"))
		}
		if seen[section] {
			faults = append(faults, f.newFault(section, "", "given twice"))
		}
		seen[section] = true
	}
	return faults
}

func (f *File) checkReferences() []error {
	plans := map[string]bool{}
	for _, plan := range f.config.GetPlans() {
		plans[plan.GetName()] = true
	}
	kinds := map[string]string{}
	for _, pool := range f.config.GetPools() {
		kinds[pool.GetName()] = pool.GetKind()
	}
	var faults []error
	for _, account := range f.config.GetAccounts() {
		if !plans[account.GetPlan()] && account.GetPlan() != "" {
			faults = append(faults, f.newFault("account "+account.GetName(), "plan", "plan "+account.GetPlan()+" is not in the list"))
		}
	}
	for _, plan := range f.config.GetPlans() {
		section := "plan " + plan.GetName()
		faults = append(faults, f.checkPools(section, "models", plan.GetModels(), kinds, kindEngine)...)
		faults = append(faults, f.checkPools(section, "services", plan.GetServices(), kinds, kindPlain)...)
	}
	for _, pool := range f.config.GetPools() {
		if pool.GetMax() < pool.GetMin() {
			faults = append(faults, f.newFault("pool "+pool.GetName(), "max", "is below min"))
		}
	}
	return faults
}

func (f *File) checkPools(section, key string, names []string, kinds map[string]string, kind string) []error {
	var faults []error
	for _, name := range names {
		switch kinds[name] {
		case kind:
		case "":
			faults = append(faults, f.newFault(section, key, "pool "+name+" is not in the list"))
		default:
			faults = append(faults, f.newFault(section, key, "pool "+name+" is of kind "+kinds[name]))
		}
	}
	return faults
}

func (f *File) newFault(section, key, problem string) error {
	file := f.files[section]
	if file == "" {
		file = "lists"
	}
	return &settings.Error{File: file, Section: section, Key: key, Problem: problem}
}

func (f *File) read(file string, kinds ...string) {
	options := ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreInlineComment:        true,
	}
	document, err := ini.LoadSources(options, file)
	if err != nil {
		f.addFault(file, ini.DefaultSection, "", err.Error())
		return
	}
	for _, section := range document.Sections() {
		f.readSection(file, section, kinds)
	}
}

func (f *File) readSection(file string, section *ini.Section, kinds []string) {
	if section.Name() == ini.DefaultSection {
		for _, key := range section.KeyStrings() {
			f.addFault(file, section.Name(), key, "setting outside of a section")
		}
		return
	}
	kind, name, _ := strings.Cut(section.Name(), " ")
	name = strings.TrimSpace(name)
	if !slices.Contains(kinds, kind) {
		f.addFault(file, section.Name(), "", "unknown section; expected ["+strings.Join(kinds, " NAME] or [")+" NAME]")
		return
	}
	if name == "" {
		f.addFault(file, section.Name(), "", "has no name")
		return
	}
	if f.files[kind+" "+name] != "" {
		f.addFault(file, section.Name(), "", "given twice")
		return
	}
	f.files[kind+" "+name] = file
	f.readItem(file, section, kind, name)
}

func (f *File) readItem(file string, section *ini.Section, kind, name string) {
	for _, key := range section.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			f.addFault(file, section.Name(), key.Name(), "given twice")
		}
		if key.Name() == "name" {
			f.addFault(file, section.Name(), key.Name(), "unknown setting")
			section.DeleteKey(key.Name())
		}
	}
	item := f.newItem(kind, name)
	if err := settings.Decode(file, section, item); err != nil {
		f.faults = append(f.faults, err)
	}
}

func (f *File) newItem(kind, name string) proto.Message {
	switch kind {
	case "account":
		account := listpb.Account_builder{Name: name}.Build()
		f.config.SetAccounts(append(f.config.GetAccounts(), account))
		return account
	case "plan":
		plan := listpb.Plan_builder{Name: name}.Build()
		f.config.SetPlans(append(f.config.GetPlans(), plan))
		return plan
	default:
		pool := listpb.Pool_builder{Name: name}.Build()
		f.config.SetPools(append(f.config.GetPools(), pool))
		return pool
	}
}

func (f *File) sectionNames() []string {
	var names []string
	for _, account := range f.config.GetAccounts() {
		names = append(names, "account "+account.GetName())
	}
	for _, plan := range f.config.GetPlans() {
		names = append(names, "plan "+plan.GetName())
	}
	for _, pool := range f.config.GetPools() {
		names = append(names, "pool "+pool.GetName())
	}
	return names
}
