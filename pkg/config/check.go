package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/strictjson"
)

// publicKeyBytes is the length of an Ed25519 public key.
const publicKeyBytes = 32

// ParseRouter reads a router's settings over the defaults and checks them
// whole. The settings are fit for use only when there is no problem.
func ParseRouter(data []byte) (Router, []Problem) {
	settings := DefaultRouter()
	c := parse(data, &settings)
	c.vm(settings.VM)
	c.address("callers.address", settings.Callers.Address, true)
	c.tls("callers.tls", settings.Callers.TLS)
	c.common(settings.Operators, settings.Peers, settings.Platform, settings.Bundles)
	return settings, c.problems
}

// ParseAgent reads an agent's settings over the defaults and checks them whole.
// The settings are fit for use only when there is no problem.
func ParseAgent(data []byte) (Agent, []Problem) {
	settings := DefaultAgent()
	c := parse(data, &settings)
	c.vm(settings.VM)
	c.address("peer_address", settings.PeerAddress, true)
	c.address("target.address", settings.Target.Address, true)
	c.text("target.pool", settings.Target.Pool)
	c.common(settings.Operators, settings.Peers, settings.Platform, settings.Bundles)
	return settings, c.problems
}

// InvalidError reports all problems of a settings file.
type InvalidError struct {
	File     string
	Problems []Problem
}

// Error implements error: one line for each problem.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s: %d problem(s)\n%s", e.File, len(e.Problems), strictjson.FormatProblems(e.Problems))
}

// LoadRouter reads a router's settings file.
func LoadRouter(file string) (Router, error) {
	return load(file, ParseRouter)
}

// LoadAgent reads an agent's settings file.
func LoadAgent(file string) (Agent, error) {
	return load(file, ParseAgent)
}

func load[T any](file string, parse func([]byte) (T, []Problem)) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var none T
		return none, errors.Annotate(err, "settings")
	}
	settings, problems := parse(data)
	if len(problems) > 0 {
		return settings, &InvalidError{File: file, Problems: problems}
	}
	return settings, nil
}

// checker collects problems; a path gets at most one.
type checker struct {
	problems []Problem
}

func parse(data []byte, settings any) *checker {
	c := &checker{problems: strictjson.Decode(data, settings)}
	c.bounds("", reflect.ValueOf(settings).Elem())
	return c
}

func (c *checker) add(path, found, allowed string) {
	for _, problem := range c.problems {
		if problem.Path == path {
			return
		}
	}
	c.problems = append(c.problems, Problem{Path: path, Found: found, Allowed: allowed})
}

// bounds checks the min, max and oneof tags of all fields.
func (c *checker) bounds(path string, value reflect.Value) {
	for i := range value.NumField() {
		field := value.Type().Field(i)
		fieldPath := strings.TrimPrefix(path+"."+field.Tag.Get("json"), ".")
		fieldValue := value.Field(i)
		switch {
		case fieldValue.Kind() == reflect.Struct:
			c.bounds(fieldPath, fieldValue)
		case field.Tag.Get("min") != "":
			c.bound(fieldPath, fieldValue, field.Tag.Get("min"), field.Tag.Get("max"))
		case field.Tag.Get("oneof") != "":
			c.oneOf(fieldPath, fieldValue.String(), strings.Fields(field.Tag.Get("oneof")))
		}
	}
}

func (c *checker) bound(path string, value reflect.Value, least, greatest string) {
	found := value.Int()
	low, high := boundValue(value, least), boundValue(value, greatest)
	if found >= low && found <= high {
		return
	}
	text := strconv.FormatInt(found, 10)
	if duration, ok := value.Interface().(Duration); ok {
		text = time.Duration(duration).String()
	}
	c.add(path, text, fmt.Sprintf("%s to %s", least, greatest))
}

// boundValue reads a bound in the field's own type. Bounds are constants of
// this package; a malformed one is a fault of the program.
func boundValue(value reflect.Value, text string) int64 {
	if _, ok := value.Interface().(Duration); ok {
		parsed, err := time.ParseDuration(text)
		if err != nil {
			panic(err)
		}
		return int64(parsed)
	}
	parsed, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		panic(err)
	}
	return parsed
}

func (c *checker) oneOf(path, found string, allowed []string) {
	for _, value := range allowed {
		if found == value {
			return
		}
	}
	c.add(path, strconv.Quote(found), "one of: "+strings.Join(allowed, ", "))
}

func (c *checker) text(path, value string) {
	if value == "" {
		c.add(path, "nothing", "a name")
	}
}

func (c *checker) vm(vm VM) {
	c.text("vm.id", vm.ID)
	c.text("vm.region", vm.Region)
	c.text("vm.data_centre", vm.DataCentre)
}

func (c *checker) address(path, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(path, strconv.Quote(value), "an IP address and port such as 10.0.0.1:8080")
	}
}

func (c *checker) tls(path string, tls TLS) {
	if (tls.CertFile == "") != (tls.KeyFile == "") {
		c.add(path, "one file", "both cert_file and key_file, or neither")
	}
}

func (c *checker) common(operators Operators, peers Peers, platform Platform, bundles Bundles) {
	c.address("operators.address", operators.Address, false)
	c.tls("operators.tls", operators.TLS)
	c.address("platform.address", platform.Address, true)
	for i, seed := range peers.Seeds {
		c.address(fmt.Sprintf("peers.seeds[%d]", i), seed, true)
	}
	set := 0
	for _, file := range []string{peers.TLS.CertFile, peers.TLS.KeyFile, peers.TLS.CAFile} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		c.add("peers.tls", fmt.Sprintf("%d of 3 files", set), "cert_file, key_file and ca_file, or none")
	}
	c.bundles(bundles)
}

func (c *checker) bundles(bundles Bundles) {
	if len(bundles.TrustedKeys) == 0 {
		c.add("bundles.trusted_keys", "none", "at least one public key")
	}
	for i, key := range bundles.TrustedKeys {
		path := fmt.Sprintf("bundles.trusted_keys[%d]", i)
		c.text(path+".id", key.ID)
		raw, err := hex.DecodeString(key.PublicKey)
		if err != nil || len(raw) != publicKeyBytes {
			c.add(path+".public_key", strconv.Quote(key.PublicKey), "32 bytes in hexadecimal")
		}
	}
}
