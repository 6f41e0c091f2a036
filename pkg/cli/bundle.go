package cli

import (
	"github.com/urfave/cli/v2"
)

// operatorCommands returns the commands that operators run against a fleet.
func operatorCommands() []*cli.Command {
	return []*cli.Command{bundleCommand(), keygenCommand(), keyCommand(), statusCommand(), explainCommand(), loadCommand()}
}

func bundleCommand() *cli.Command {
	return &cli.Command{
		Name:  "bundle",
		Usage: "draft, sign, approve, roll and withdraw bundles",
		Subcommands: []*cli.Command{
			{
				Name: "init", Usage: "write a new draft: of the published bundle, or an empty one",
				UsageText: "baobab bundle init --platform 127.0.0.1:7070 draft.json",
				ArgsUsage: "DRAFT", Action: initDraft,
				Flags: []cli.Flag{platformFlag(false), routerFlag(), jsonFlag()},
			},
			{
				Name: "check", Usage: "report all problems of a draft or envelope",
				UsageText: "baobab bundle check draft.json", ArgsUsage: "FILE", Action: checkBundle,
				Flags: []cli.Flag{jsonFlag()},
			},
			{
				Name: "diff", Usage: "show what a draft or envelope changes",
				UsageText: "baobab bundle diff old.json new.json\nbaobab bundle diff --platform 127.0.0.1:7070 draft.json",
				ArgsUsage: "[OLD] NEW", Action: diffBundles,
				Flags: []cli.Flag{platformFlag(false), routerFlag(), jsonFlag()},
			},
			{
				Name: "sign", Usage: "sign a draft; writes an envelope",
				UsageText: "baobab bundle sign --key ana.key --out next.signed draft.json",
				ArgsUsage: "DRAFT", Action: signDraft,
				Flags: []cli.Flag{keyFlag(), envelopeOutFlag(), jsonFlag()},
			},
			{
				Name: "approve", Usage: "approve an envelope with a key other than the signer's",
				UsageText: "baobab bundle approve --key bea.key next.signed",
				ArgsUsage: "ENVELOPE", Action: approveEnvelope,
				Flags: []cli.Flag{keyFlag(), jsonFlag()},
			},
			{
				Name: "roll", Usage: "publish an approved envelope over the fleet",
				UsageText: "baobab bundle roll --platform 127.0.0.1:7070 --trust trust.json next.signed",
				ArgsUsage: "ENVELOPE", Action: rollEnvelope,
				Flags: []cli.Flag{platformFlag(true), trustFlag(), routerFlag(), waitFlag(), yesFlag(), jsonFlag()},
			},
			{
				Name: "withdraw", Usage: "sign a new version with the content of an earlier one",
				UsageText: "baobab bundle withdraw --platform 127.0.0.1:7070 --to 4 --key ana.key --out back.signed",
				Action:    withdrawVersion,
				Flags: []cli.Flag{
					platformFlag(true), keyFlag(), envelopeOutFlag(), routerFlag(), jsonFlag(),
					&cli.Uint64Flag{Name: "to", Usage: "earlier `VERSION` whose content returns", Required: true},
				},
			},
			{
				Name: "status", Usage: "say what is published and what is in force",
				UsageText: "baobab bundle status --platform 127.0.0.1:7070 --router 127.0.0.1:8081",
				Action:    bundleStatus,
				Flags:     []cli.Flag{platformFlag(true), routerFlag(), jsonFlag()},
			},
			{
				Name: "history", Usage: "list the published version and those before it",
				UsageText: "baobab bundle history --platform 127.0.0.1:7070",
				Action:    bundleHistory,
				Flags:     []cli.Flag{platformFlag(true), routerFlag(), jsonFlag()},
			},
		},
	}
}
