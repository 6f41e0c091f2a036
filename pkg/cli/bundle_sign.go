package cli

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"

	"github.com/baobabhub/baobabhub/pkg/bundle"
)

func envelopeOutFlag() *cli.StringFlag {
	return &cli.StringFlag{
		Name: outOption, Usage: "new envelope `FILE`", Required: true, TakesFile: true,
	}
}

// envelopeReport describes a written or published envelope in JSON output.
type envelopeReport struct {
	File    string `json:"file,omitempty"`
	Version uint64 `json:"version"`
	// SHA256 is the hash of the bundle's canonical encoding in hexadecimal.
	SHA256    string   `json:"sha256"`
	Signer    string   `json:"signer"`
	Approvals []string `json:"approvals"`
}

func newEnvelopeReport(file string, version uint64, signed bundle.Signed) envelopeReport {
	sum := sha256.Sum256(signed.Bundle)
	report := envelopeReport{
		File: file, Version: version, SHA256: hex.EncodeToString(sum[:]), Signer: signed.KeyID, Approvals: []string{},
	}
	for _, approval := range signed.Approvals {
		report.Approvals = append(report.Approvals, approval.KeyID)
	}
	return report
}

func (r envelopeReport) text() string {
	return fmt.Sprintf("version %d, SHA-256 %s\nsigned by %s; approved by: %s\n", r.Version, r.SHA256, r.Signer, joinNames(r.Approvals))
}

func signDraft(c *cli.Context) error {
	args, err := positionalArguments(c, "DRAFT")
	if err != nil {
		return err
	}
	key, err := loadKey(c.String(keyOption))
	if err != nil {
		return err
	}
	draft, err := readDraft(c, args[0])
	if err != nil {
		return err
	}
	return signAndWrite(c, draft, key)
}

// signAndWrite signs a bundle and writes the envelope to the output file.
func signAndWrite(c *cli.Context, content bundle.Bundle, key operatorKey) error {
	signed, err := bundle.Sign(content, key.id, key.privateKey)
	if err != nil {
		return usageError{err}
	}
	path := c.String(outOption)
	if err := writeEnvelope(path, signed, false); err != nil {
		return err
	}
	report := newEnvelopeReport(path, content.Version, signed)
	return printResult(c, report, "wrote "+path+": "+report.text())
}

func writeEnvelope(path string, signed bundle.Signed, replace bool) error {
	data, err := signed.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	return writeFile(path, append(data, '\n'), replace)
}

func approveEnvelope(c *cli.Context) error {
	args, err := positionalArguments(c, "ENVELOPE")
	if err != nil {
		return err
	}
	key, err := loadKey(c.String(keyOption))
	if err != nil {
		return err
	}
	signed, content, err := readEnvelope(c, args[0])
	if err != nil {
		return err
	}
	if signed.UsesKey(key.privateKey) {
		return usageError{errors.Errorf("%s: the key in %s has signed or approved this envelope already: an approval is by another operator's key",
			args[0], c.String(keyOption))}
	}
	signed, err = signed.Approve(key.id, key.privateKey)
	if err != nil {
		return usageError{err}
	}
	if err := writeEnvelope(args[0], signed, true); err != nil {
		return err
	}
	report := newEnvelopeReport(args[0], content.Version, signed)
	return printResult(c, report, "approved "+args[0]+": "+report.text())
}
