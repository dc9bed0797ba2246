/** Log events of controllers, numbered 4000 to 4999. */
import { define } from './LogEventDefinition.js';

export const controllerLogEvents = {
  leaseTaken: define(4000, 'info', 'The controller holds the lease of its data centre'),
  leaseLost: define(4001, 'warn', 'The controller holds the lease no longer and goes quiet'),
  instanceBought: define(4010, 'info', 'A backend server instance was bought'),
} as const;
