import * as assert from 'uvu/assert';
import {OwnedJob} from '@chicoryspring/jobs';
import {JobValues} from '@chicoryspring/jobs/spec/job_values.js';
import {describe, ManualClock} from '@chicoryspring/testing';
import {FleetAgentDirectory} from '../jobs/fleet_agent_directory.js';
import {RunIndex} from '../jobs/run_index.js';
import {RunDurationObserver} from './run_duration_observer.js';

describe('run duration observer', () => {
  describe('of a run that resumes from a checkpoint', test => {
    test('counts its progress from the checkpoint on', () => {
      const clock = new ManualClock(10_000);
      const job = new OwnedJob(JobValues.record({isCheckpointable: true}), 3);
      job.openDueOccurrences(clock.now());
      const [task] = job.tasks;
      const index = new RunIndex();
      const agents = new FleetAgentDirectory(clock);
      const parts = {agents, index, jobOf: () => job, clock};
      const observer = new RunDurationObserver(parts);
      task!.recordCheckpoint('saved', 1);
      const ordered = JobValues.run({run: 2, agent: 'a', percent: 0});
      index.set(task!, ordered);
      observer.ordered(task!);
      index.set(task!, {...ordered, percent: 60});
      observer.observe(task!);
      const [run] = observer.runsOn('a', clock.now());
      assert.is(run?.firstPercent, 60);
      assert.is(run?.percent, 60);
    });
  });
});
