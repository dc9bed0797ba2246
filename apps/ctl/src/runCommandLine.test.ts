import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, beforeEach, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { matchSnapshot } from '@hornbeampond/testing';
import { commands, runCommandLine } from './runCommandLine.js';
import { AutoAdvancingTimerService } from './testing/AutoAdvancingTimerService.js';
import { FakeOperatorServer } from './testing/FakeOperatorServer.js';
import { samplePlan, sampleStatus } from './testing/statusSamples.js';

const poolsFile = fileURLToPath(
  new URL('../../../examples/kartenwerk/pools.toml', import.meta.url),
);
let server: FakeOperatorServer;
let folder: string;

before(() => {
  folder = mkdtempSync(join(tmpdir(), 'ctl-'));
});

after(async () => {
  rmSync(folder, { recursive: true });
  await server.close();
});

beforeEach(async () => {
  if ((server as FakeOperatorServer | undefined) !== undefined) await server.close();
  server = await FakeOperatorServer.start();
  server.responsesByPath.set('/tables/pools', { revision: 7, configurationRevision: 7, rows: [] });
  server.responsesByPath.set('/status', sampleStatus);
  server.responsesByPath.set('/plan', { rows: samplePlan });
});

interface Outcome {
  readonly exitCode: number;
  readonly printed: readonly string[];
  readonly errors: readonly string[];
}

async function run(commandLine: string, isTerminal = false): Promise<Outcome> {
  const printed: string[] = [];
  const errors: string[] = [];
  const exitCode = await runCommandLine(commandLine.split(' '), {
    environment: {
      HORNBEAMPOND_ENTRY: server.url,
      HORNBEAMPOND_OPERATOR_KEY: 'operator-key',
    },
    isTerminal,
    timers: new AutoAdvancingTimerService(),
    print: (line) => printed.push(line),
    printError: (line) => errors.push(line),
  });
  return { exitCode, printed, errors };
}

test('help lists the verbs and exit codes, and each verb tells its own with an example', async () => {
  const help = await run('--help');
  assert.equal(help.exitCode, 0);
  const commandHelps = await Promise.all(commands.map(({ name }) => run(`${name} --help`)));
  commandHelps.forEach(({ exitCode, printed }, position) => {
    assert.equal(exitCode, 0);
    assert.match(printed.at(-1) ?? '', new RegExp(`^example: .*${commands[position]?.name}`));
  });
  const text = [help, ...commandHelps]
    .map(({ printed }) => printed.join('\n'))
    .join('\n\n----\n\n');
  await matchSnapshot(import.meta.url, 'help', text);
});

test('a verb, an option or a table that there is not exits 2', async () => {
  for (const commandLine of [
    'tables burn',
    'status --loud',
    'tables get rotes',
    'tables wait soon',
  ]) {
    const { exitCode, errors } = await run(commandLine);
    assert.equal(exitCode, 2, commandLine);
    assert.ok(errors.length > 0, commandLine);
  }
});

test('options may stand before the verb', async () => {
  const { exitCode, printed } = await run(`--entry ${server.url} status --json`);
  assert.equal(exitCode, 0);
  assert.deepEqual(JSON.parse(printed[0] ?? ''), sampleStatus);
});

test('put sends the revision that was read and prints the new one', async () => {
  const outcome = await run(`tables put pools ${poolsFile}`);
  assert.deepEqual(outcome, { exitCode: 0, printed: ['pools is at revision 8'], errors: [] });
  assert.equal(server.receivedChanges.length, 1);
  assert.equal(server.receivedChanges[0]?.ifMatch, '"7"');
});

// Two operators hold revision 7. The other's change comes first, so the log is at 9. Ours is refused
// with nothing changed, and the operator is told who is ahead and how to merge.
test('a race that was lost exits 3 and tells how to merge', async () => {
  server.revision = 9;
  const outcome = await run(`tables put pools ${poolsFile} --revision 7`);
  assert.equal(outcome.exitCode, 3);
  assert.equal(server.revision, 9);
  const text = outcome.printed.join('\n').replaceAll(poolsFile, 'pools.toml');
  await matchSnapshot(import.meta.url, 'race lost', text);
});

// The change is carried out, but its answer is lost twice. The operator must see it succeed once:
// the command sends it again under the same change id, and the log gives the first answer again.
test('a change whose answer is lost is sent again under the same id and made once', async () => {
  server.responsesToDrop = 2;
  const outcome = await run(`tables put pools ${poolsFile}`);
  assert.equal(outcome.exitCode, 0);
  assert.deepEqual(outcome.printed, ['pools is at revision 8']);
  assert.equal(server.receivedChanges.length, 3);
  assert.equal(new Set(server.receivedChanges.map(({ changeId }) => changeId)).size, 1);
  assert.equal(server.revision, 8);
});

// All answers are lost. The operator can't know whether the change was made, and gets the id under
// which the same file can be sent again without harm.
test('a change that stays unanswered exits 1 after a few sends', async () => {
  server.responsesToDrop = 100;
  const outcome = await run(`tables put pools ${poolsFile} --change-id mine`);
  assert.equal(outcome.exitCode, 1);
  assert.equal(server.receivedChanges.length, 5);
  assert.ok(outcome.errors.length > 0);
  assert.match([...outcome.printed, ...outcome.errors].join('\n'), /--change-id mine/);
});

test('a file with faults exits 2 with every fault, and nothing is sent', async () => {
  const file = join(folder, 'pools.toml');
  writeFileSync(
    file,
    '[[pools]]\nname = "A"\nkind = "oven"\ndataCentres = []\nleast = -1\nmost = 1\n' +
      'instanceClasses = [{ name = "x", eurosPerHour = 1, reclaimable = "yes", concurrency = 0 }]\n',
  );
  const outcome = await run(`tables put pools ${file}`);
  assert.equal(outcome.exitCode, 2);
  assert.deepEqual(server.receivedChanges, []);
  assert.deepEqual(outcome.printed, []);
  const text = outcome.errors.join('\n').replaceAll(file, 'pools.toml');
  await matchSnapshot(import.meta.url, 'faults of a file', text);
});

test('a key that is not known exits 1 with the kind', async () => {
  const outcome = await run('status --key other');
  assert.equal(outcome.exitCode, 1);
  assert.match(outcome.errors[0] ?? '', /^unauthorized: /);
});

// One entry is cut off at an older revision and never follows. The operator who waits is told which
// one after the given time, by an exit code that a script can tell from a failure.
test('a wait that runs out exits 4 and names those behind', async () => {
  const outcome = await run('tables wait 8 --seconds 2');
  const printed = [
    'revision 8 is not yet in force on:',
    '  entry-b-1 (b) at 6',
    '  controller-a-1 (a) at 7',
  ];
  assert.deepEqual(outcome, { exitCode: 4, printed, errors: [] });
});

test('a wait ends once the revision is in force everywhere', async () => {
  const outcome = await run('tables wait 6');
  const printed = ['revision 6 is in force everywhere'];
  assert.deepEqual(outcome, { exitCode: 0, printed, errors: [] });
});

test('status, store status and plan', async () => {
  const outcomes = await Promise.all(['status', 'store status', 'plan'].map((verb) => run(verb)));
  outcomes.forEach(({ exitCode, errors }) =>
    assert.deepEqual({ exitCode, errors }, { exitCode: 0, errors: [] }),
  );
  const text = outcomes.map(({ printed }) => printed.join('\n')).join('\n\n----\n\n');
  await matchSnapshot(import.meta.url, 'status', text);
});

test('plan --json gives the rows, and an entry, which has none, is told so', async () => {
  const { printed } = await run('plan --json');
  assert.deepEqual(JSON.parse(printed[0] ?? ''), samplePlan);
  server.responsesByPath.delete('/plan');
  const { exitCode, errors } = await run('plan');
  assert.equal(exitCode, 1);
  assert.match(errors[0] ?? '', /^routeNotFound: /);
});

test('colours are used on a terminal only', async () => {
  const escape = '\u001b[';
  for (const verb of ['status', 'plan']) {
    assert.equal((await run(verb)).printed.join('').includes(escape), false);
    assert.equal((await run(verb, true)).printed.join('').includes(escape), true);
  }
});

test('watch shows the status as often as it is told', async () => {
  const { exitCode, printed } = await run('watch --times 2 --seconds 5');
  assert.equal(exitCode, 0);
  const times = printed.filter((line) => line.startsWith('-- '));
  assert.deepEqual(times, ['-- 2026-01-15T11:00:00.000Z', '-- 2026-01-15T11:00:05.000Z']);
});
