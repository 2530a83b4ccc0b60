//! What the history records of workers and of the list of VMs.

use history::Fact;

use crate::simulation::Simulation;

impl Simulation<'_> {
    pub(crate) fn record_workers(&mut self) {
        for plan in self
            .scenario
            .jobs
            .iter()
            .filter(|plan| !plan.needs.is_empty())
        {
            let job = plan.job.name.clone();
            self.record(Fact::Feasible { job });
        }
        for vm in &self.scenario.vms {
            self.record(Fact::Worker {
                vm: vm.name.clone(),
                capacity: vm.capacity,
                reserved: self.scenario.service.reserved,
                slots: vm.slots,
            });
        }
    }

    pub(crate) fn record_listed(&mut self) {
        let now = self.now();
        let mut facts = Vec::new();
        for vm in self.platform.vms.list(now) {
            let leaving = vm.state == decision::vm::State::Leaving;
            let before = self.fleet.listed.insert(vm.name.clone(), leaving);
            if before != Some(leaving) {
                let vm = vm.name.clone();
                facts.push(Fact::Listed { vm, leaving });
            }
        }
        facts.into_iter().for_each(|fact| self.record(fact));
    }
}
