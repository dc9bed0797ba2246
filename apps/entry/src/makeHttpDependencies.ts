/** What is outside an entry where it is spoken to by this project's own interface, over HTTP. */
import {
  HttpEngineAdapter,
  HttpPlainServiceAdapter,
  HttpPlatformAdapter,
} from '@hornbeampond/adapters';
import type { AttemptTarget } from '@hornbeampond/entry-core';
import type { EntrySettings } from '@hornbeampond/schema';
import type { BackendServerAdapter } from './AdapterDirectory.js';
import type { EntryDependencies } from './EntryProcess.js';

function makeHttpAdapter(target: AttemptTarget): BackendServerAdapter {
  return target.kind === 'modelEngine'
    ? { kind: 'modelEngine', adapter: new HttpEngineAdapter(target) }
    : { kind: 'plainService', adapter: new HttpPlainServiceAdapter(target) };
}

/** The platform at the address of the settings, and backend servers at theirs. */
export function makeHttpDependencies(settings: EntrySettings): EntryDependencies {
  return {
    platform: new HttpPlatformAdapter(settings.platform.url),
    makeAdapter: makeHttpAdapter,
  };
}
