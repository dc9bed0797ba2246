/**
 * Both tables as they are in force together, with the revisions that order them.
 */
import type { Pool } from './pools.js';
import type { Route } from './routes.js';
import type { CallerBounds, WorkspaceRow } from './workspaces.js';

export const tableNames = ['routes', 'pools'] as const;
export type TableName = (typeof tableNames)[number];

/** One table: its rows and the configuration revision of its last change. */
export interface Table<Row> {
  readonly revision: number;
  readonly rows: readonly Row[];
}

/** The whole configuration. `revision` grows by one with each accepted change of either table. */
export interface Configuration {
  readonly revision: number;
  readonly routes: Table<Route>;
  readonly pools: Table<Pool>;
  /** Set where operators replace all tables at once. */
  readonly whole?: ConfigurationReplacement;
}

/** What comes with a configuration that replaced all tables at once. */
export interface ConfigurationReplacement {
  /** The operators' own number; the highest is in force. */
  readonly version: number;
  readonly workspaces: readonly WorkspaceRow[];
  readonly callerBounds?: CallerBounds;
}

/** What is in force before an operator has put anything. */
export const emptyConfiguration: Configuration = {
  revision: 0,
  routes: { revision: 0, rows: [] },
  pools: { revision: 0, rows: [] },
};
