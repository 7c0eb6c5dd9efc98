/** Commands of `citronstage` with their arguments. */
import type { Argv } from 'yargs';
import { publishFromFile, publishSubject, type FileKind } from './commands/ChangeConfiguration.js';
import { drainServer } from './commands/DrainServer.js';
import { listConfiguration } from './queries/ListConfiguration.js';
import { showForecast } from './queries/ShowForecast.js';
import { showCost } from './queries/ShowCost.js';
import { REPORT_FORMATS, type ReportFormat } from './Report.js';
import { explainRequest, showStatus } from './queries/ShowStatus.js';
import type { CliContext, CliResult } from './Types.js';

/** Runs a command with its parsed arguments and returns lines for standard output. */
export type CommandHandler = (context: CliContext) => Promise<CliResult<string[]>>;

/** Called with the handler of the command that the arguments name. */
export type CommandListener = (task: CommandHandler) => void;

const DEFAULT_FORMAT: ReportFormat = 'table';

const FILE_KINDS: readonly FileKind[] = ['template', 'account'];

/**
 * Adds all commands.
 * @param program - parser with the common options
 * @param onCommand - called with the handler of the selected command
 * @returns the parser
 */
export function addCommands(program: Argv, onCommand: CommandListener): Argv {
  let result = program.command('$0', false, {}, () => undefined);
  for (const kind of FILE_KINDS) result = addFileCommands(result, kind, onCommand);
  return addQueryCommands(addServerCommands(result, onCommand), onCommand);
}

function addExpectedRevision<T>(program: Argv<T>) {
  return program.option('expected-revision', {
    type: 'number',
    describe:
      'Fail if another revision is the newest; default: the revision read before the change',
  });
}

function addFileCommands(program: Argv, kind: FileKind, onCommand: CommandListener): Argv {
  const withFile = (inner: Argv) =>
    addExpectedRevision(
      inner.positional('file', {
        type: 'string',
        demandOption: true,
        describe: `JSON with comments: one ${kind}`,
      }),
    );
  const withName = (inner: Argv) =>
    addExpectedRevision(inner.positional('name', { type: 'string', demandOption: true }));
  return program.command(
    `${kind} <command>`,
    `Publish, change, retire and list ${kind}s`,
    (group) =>
      group
        .command('publish <file>', `Publish a new ${kind}`, withFile, (args) =>
          onCommand((context) => publishFromFile(context, { ...args, kind, intent: 'publish' })),
        )
        .command('change <file>', `Change a published ${kind}`, withFile, (args) =>
          onCommand((context) => publishFromFile(context, { ...args, kind, intent: 'change' })),
        )
        .command(
          'retire <name>',
          `Retire a ${kind}`,
          withName,
          ({ name, expectedRevision: revision }) =>
            onCommand((context) =>
              publishSubject(context, { kind: `${kind}-retired`, name }, revision),
            ),
        )
        .command('list', `List ${kind}s`, {}, () =>
          onCommand((context) => listConfiguration(context, kind)),
        )
        .demandCommand(1),
  );
}

function addServerCommands(program: Argv, onCommand: CommandListener): Argv {
  const withId = (inner: Argv) =>
    inner.positional('id', { type: 'string', demandOption: true, describe: 'Backend server' });
  return program.command(
    'server <command>',
    'Drain, resume, add and list backend servers',
    (group) =>
      group
        .command('drain <id>', 'Stop sending new work to a backend server', withId, ({ id }) =>
          onCommand((context) => drainServer(context, id, 'drain')),
        )
        .command('resume <id>', 'Send work to a drained backend server again', withId, ({ id }) =>
          onCommand((context) => drainServer(context, id, 'resume')),
        )
        .command('add <id>', 'Add a backend server', withId, ({ id }) =>
          onCommand((context) =>
            publishSubject(context, { kind: 'server', value: { id, draining: false } }),
          ),
        )
        .command('list', 'List the backend servers of the configuration', {}, () =>
          onCommand((context) => listConfiguration(context, 'server')),
        )
        .demandCommand(1),
  );
}

function addReportOptions<T>(program: Argv<T>) {
  return program
    .option('format', { choices: REPORT_FORMATS, default: DEFAULT_FORMAT })
    .option('output', { type: 'string', describe: 'File to write instead of standard output' })
    .option('prices', { type: 'string', describe: 'Price list (JSON with comments)' });
}

function addQueryCommands(program: Argv, onCommand: CommandListener): Argv {
  const withCostOptions = (inner: Argv) =>
    addReportOptions(inner)
      .option('account', { type: 'string', describe: 'Client account; default: all' })
      .option('month', {
        type: 'string',
        describe: 'YYYY-MM; default: all months for cost, next month for forecast',
      });
  const withRequestId = (inner: Argv) =>
    inner.positional('request-id', { type: 'string', demandOption: true });
  return program
    .command('cost', 'Show what each stage cost each client account', withCostOptions, (args) =>
      onCommand((context) => showCost(context, args)),
    )
    .command('forecast', "Forecast next month's bill", withCostOptions, (args) =>
      onCommand((context) => showForecast(context, args, Date.now())),
    )
    .command('status', 'Show entries and agents', {}, () => onCommand(showStatus))
    .command('revision', 'Show the revision in force', {}, () =>
      onCommand((context) => listConfiguration(context, 'revision')),
    )
    .command('explain <request-id>', 'Show the decisions about a request', withRequestId, (args) =>
      onCommand((context) => explainRequest(context, args.requestId)),
    );
}
