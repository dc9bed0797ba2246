import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { text } from 'node:stream/consumers';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { exitCodes, version } from './runBinary.js';

const root = fileURLToPath(new URL('../../../', import.meta.url));

/** Example settings files of each long-running binary. */
const exampleSettings = {
  entry: [
    'examples/kartenwerk/entry-wien-a-1.toml',
    'examples/rails-du-sahel/entry-dakar-a-1.toml',
  ],
  store: ['examples/kartenwerk/store-1.toml', 'examples/rails-du-sahel/store-1.toml'],
  controller: [
    'examples/kartenwerk/controller-wien-a-1.toml',
    'examples/rails-du-sahel/controller-dakar-a-1.toml',
  ],
} as const;

async function runCommand(binary: string, commandArguments: readonly string[]) {
  const file = `apps/${binary}/bin/hornbeampond-${binary}.js`;
  const child = spawn(process.execPath, [file, ...commandArguments], { cwd: root, stdio: 'pipe' });
  const [output, errors, [exitCode]] = await Promise.all([
    text(child.stdout),
    text(child.stderr),
    once(child, 'close') as Promise<[number | null]>,
  ]);
  return { output, errors, exitCode };
}

Object.entries(exampleSettings).forEach(([binary, examples]) => {
  const name = `hornbeampond-${binary}`;

  test(`${name} prints help and version and exits 0`, async () => {
    const help = await runCommand(binary, ['--help']);
    assert.equal(help.exitCode, exitCodes.done);
    assert.match(help.output, new RegExp(`^${name}: .+\n\nUsage: ${name} --settings FILE`));
    const printed = await runCommand(binary, ['--version']);
    assert.deepEqual(printed, { output: `${name} ${version}\n`, errors: '', exitCode: 0 });
  });

  test(`${name} --check accepts the examples and exits 0 without starting`, async () => {
    for (const file of examples) {
      const checked = await runCommand(binary, ['--check', '--settings', file]);
      assert.deepEqual(checked, { output: `${file}: good\n`, errors: '', exitCode: 0 });
    }
  });
});

test('invalid settings exit 2 and print all faults with their keys', async () => {
  const file = exampleSettings.entry[0];
  const { output, errors, exitCode } = await runCommand('store', ['--check', '--settings', file]);
  assert.equal(exitCode, exitCodes.badInput);
  assert.equal(output, '');
  const lines = errors.trimEnd().split('\n');
  assert.ok(lines.every((line) => line.startsWith(`${file}: `)));
  assert.ok(lines.some((line) => line.includes(': dataFolder: ')));
  assert.ok(lines.some((line) => line.includes('workspaces')));
});

test('an unknown option and missing settings exit 2 and point to the help', async () => {
  for (const commandArguments of [['--loud'], []]) {
    const { errors, exitCode } = await runCommand('store', commandArguments);
    assert.equal(exitCode, exitCodes.badInput);
    assert.match(errors, /see "hornbeampond-store --help"/);
  }
});
