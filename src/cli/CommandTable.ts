/** All commands with their arguments. */
import type { Argv } from 'yargs';
import { changeFromFile, changeSubject, type FileKind } from './commands/ChangeConfiguration.js';
import { drainServer } from './commands/DrainServer.js';
import { listConfiguration } from './queries/ListConfiguration.js';
import { showForecast } from './queries/ShowForecast.js';
import { showCost } from './queries/ShowCost.js';
import { REPORT_FORMATS, type ReportFormat } from './Report.js';
import { explainRequest, showStatus } from './queries/ShowStatus.js';
import type { CliContext, CliResult } from './Types.js';

/** Chosen command, ready to run. */
export type Task = (context: CliContext) => Promise<CliResult<string[]>>;

/** Takes the command that the arguments name. */
export type Choose = (task: Task) => void;

const DEFAULT_FORMAT: ReportFormat = 'table';

const FILE_KINDS: readonly FileKind[] = ['template', 'account'];

/**
 * Adds all commands.
 * @param program - parser with the common options
 * @param choose - gets the chosen command
 * @returns the parser
 */
export function addCommands(program: Argv, choose: Choose): Argv {
  let result = program.command('$0', false, {}, () => undefined);
  for (const kind of FILE_KINDS) result = addFileCommands(result, kind, choose);
  return addQueries(addServerCommands(result, choose), choose);
}

function expectedRevision<T>(program: Argv<T>) {
  return program.option('expected-revision', {
    type: 'number',
    describe: 'Fail if another revision is the newest; by default the one read first',
  });
}

function addFileCommands(program: Argv, kind: FileKind, choose: Choose): Argv {
  const withFile = (inner: Argv) =>
    expectedRevision(
      inner.positional('file', {
        type: 'string',
        demandOption: true,
        describe: `JSON with comments: one ${kind}`,
      }),
    );
  const withName = (inner: Argv) =>
    expectedRevision(inner.positional('name', { type: 'string', demandOption: true }));
  return program.command(
    `${kind} <command>`,
    `Publish, change, retire and list ${kind}s`,
    (group) =>
      group
        .command('publish <file>', `Publish a new ${kind}`, withFile, (words) =>
          choose((context) => changeFromFile(context, { ...words, kind, intent: 'publish' })),
        )
        .command('change <file>', `Change a published ${kind}`, withFile, (words) =>
          choose((context) => changeFromFile(context, { ...words, kind, intent: 'change' })),
        )
        .command('retire <name>', `Retire a ${kind}`, withName, ({ name, expectedRevision: at }) =>
          choose((context) => changeSubject(context, { kind: `${kind}-retired`, name }, at)),
        )
        .command('list', `List ${kind}s`, {}, () =>
          choose((context) => listConfiguration(context, kind)),
        )
        .demandCommand(1),
  );
}

function addServerCommands(program: Argv, choose: Choose): Argv {
  const withId = (inner: Argv) =>
    inner.positional('id', { type: 'string', demandOption: true, describe: 'Backend server' });
  return program.command(
    'server <command>',
    'Drain, resume, add and list backend servers',
    (group) =>
      group
        .command('drain <id>', 'Stop giving new work to a backend server', withId, ({ id }) =>
          choose((context) => drainServer(context, id, 'drain')),
        )
        .command('resume <id>', 'Give work to a drained backend server again', withId, ({ id }) =>
          choose((context) => drainServer(context, id, 'resume')),
        )
        .command('add <id>', 'Add a backend server', withId, ({ id }) =>
          choose((context) =>
            changeSubject(context, { kind: 'server', value: { id, draining: false } }),
          ),
        )
        .command('list', 'List backend servers of the configuration', {}, () =>
          choose((context) => listConfiguration(context, 'server')),
        )
        .demandCommand(1),
  );
}

function reportOptions<T>(program: Argv<T>) {
  return program
    .option('format', { choices: REPORT_FORMATS, default: DEFAULT_FORMAT })
    .option('output', { type: 'string', describe: 'File to write instead of standard output' })
    .option('prices', { type: 'string', describe: 'Price list (JSON with comments)' });
}

function addQueries(program: Argv, choose: Choose): Argv {
  const withCost = (inner: Argv) =>
    reportOptions(inner)
      .option('account', { type: 'string', describe: 'Client account; all by default' })
      .option('month', {
        type: 'string',
        describe: 'YYYY-MM; by default all costs, next forecast',
      });
  const withRequest = (inner: Argv) =>
    inner.positional('request-id', { type: 'string', demandOption: true });
  return program
    .command('cost', 'Show what each stage cost each client account', withCost, (words) =>
      choose((context) => showCost(context, words)),
    )
    .command('forecast', "Forecast next month's bill", withCost, (words) =>
      choose((context) => showForecast(context, words, Date.now())),
    )
    .command('status', 'Show entries and agents', {}, () => choose(showStatus))
    .command('revision', 'Show the revision in force', {}, () =>
      choose((context) => listConfiguration(context, 'revision')),
    )
    .command('explain <request-id>', 'Show the decisions about a request', withRequest, (words) =>
      choose((context) => explainRequest(context, words.requestId)),
    );
}
