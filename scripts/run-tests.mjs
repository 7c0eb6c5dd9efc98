// Runs all compiled tests with node:test. Failures listed in KNOWN-RED.txt are printed but do not
// fail the run.
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';

// Tests under target/src/load start tens of processes each and check time bounds; those under
// target/platform/load bound the memory of a process under load. Both run one by one.
const SEPARATE_TEST_FOLDERS = ['target/src/load/', 'target/platform/load/'];
const UNIT_TEST_CONCURRENCY = 4;
const TEST_TIMEOUT_MS = 180_000;
const KNOWN_RED_FILE = 'KNOWN-RED.txt';

const testFiles = (directory) =>
  readdirSync(directory, { withFileTypes: true }).flatMap((entry) => {
    const path = join(directory, entry.name);
    if (entry.isDirectory()) return testFiles(path);
    return entry.name.endsWith('.test.js') ? [path] : [];
  });

/** Returns the test names in KNOWN-RED.txt: the text after "test:" at the start of a line. */
const readKnownRed = () => {
  if (!existsSync(KNOWN_RED_FILE)) return new Set();
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  return new Set(
    lines.filter((line) => line.startsWith('test:')).map((line) => line.slice(5).trim()),
  );
};

const filter = process.argv[2] ?? '';
const files = ['target/src', 'target/platform']
  .flatMap(testFiles)
  .filter((file) => file.includes(filter));
const knownRed = readKnownRed();
let passed = 0;
const passedNames = new Set();
const failures = [];

async function runFiles(group, concurrency) {
  if (group.length === 0) return;
  const stream = run({ files: group, concurrency, timeout: TEST_TIMEOUT_MS });
  stream.on('test:pass', (event) => {
    if (event.details.type === 'suite') return;
    passed += 1;
    passedNames.add(event.name);
  });
  stream.on('test:fail', (event) => {
    const cause = event.details.error?.cause ?? event.details.error;
    // A suite or file that failed only because of a test in it is not counted as a further failure.
    if (event.details.error?.failureType === 'subtestsFailed') return;
    failures.push({ name: event.name, file: event.file ?? '', cause });
  });
  stream.on('test:stderr', (event) => {
    if (process.env.VERBOSE_TESTS) process.stderr.write(event.message);
  });
  stream.resume();
  await new Promise((resolve) => {
    stream.on('end', resolve);
  });
}

const isSeparateTest = (file) => SEPARATE_TEST_FOLDERS.some((folder) => file.startsWith(folder));
await runFiles(
  files.filter((file) => !isSeparateTest(file)),
  UNIT_TEST_CONCURRENCY,
);
await runFiles(files.filter(isSeparateTest), 1);

const unexpected = failures.filter((failure) => !knownRed.has(failure.name));
for (const failure of failures) {
  const label = knownRed.has(failure.name) ? 'KNOWN RED' : 'FAILED';
  process.stdout.write(`${label}: ${failure.name} (${failure.file})\n`);
  if (label === 'FAILED') process.stdout.write(`${failure.cause?.stack ?? failure.cause}\n`);
}
const passedKnownRed = [...knownRed].filter((name) => passedNames.has(name));
for (const name of passedKnownRed) process.stdout.write(`KNOWN RED passed this time: ${name}\n`);
process.stdout.write(
  `${passed} passed, ${unexpected.length} failed, ${failures.length - unexpected.length} skipped\n`,
);
process.exitCode = unexpected.length > 0 || passed === 0 ? 1 : 0;
