/** The binary `hornbeampond-controller`. */
import { SystemTimerService, runBinary } from '@hornbeampond/runtime';
import { controllerSettingsSchema } from '@hornbeampond/schema';
import { ControllerProcess } from './ControllerProcess.js';

await runBinary({
  name: 'hornbeampond-controller',
  purpose: 'keeps the pools of its data centre at the least cost that meets the deadlines',
  schema: controllerSettingsSchema,
  start: async (settings) => {
    const controller = new ControllerProcess(settings, new SystemTimerService());
    await controller.start();
    return controller;
  },
});
