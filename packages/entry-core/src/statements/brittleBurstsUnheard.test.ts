/** Bursts at brittle servers of a large site whose entries do not tell each other that they are brittle. */
import { testBrittleBursts } from './testing/brittleBursts.js';

testBrittleBursts({ entries: 58, enginesPerDataCentre: 4, seeds: [3] }, ['cutOffBefore']);
